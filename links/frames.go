package links

import (
	"fmt"
	"sync"

	"currantwick"
	"currantwick/codec"
)

// encoder encodes messages and caches the frame of the last update, since
// the same update is posted to many links in turn.
type encoder struct {
	mu     sync.Mutex
	update *wick.HolderUpdate
	frame  []byte
}

// frameFor returns the encoded frame of a message.
func (e *encoder) frameFor(msg wick.LinkMessage) ([]byte, error) {
	if msg.Update == nil {
		return encode(msg)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if msg.Update == e.update {
		return e.frame, nil
	}
	frame, err := encode(msg)
	if err != nil {
		return nil, err
	}
	e.update, e.frame = msg.Update, frame
	return frame, nil
}

// encode returns the frame of a message, compressed if it is large.
func encode(msg wick.LinkMessage) ([]byte, error) {
	body, err := codec.EncodeCBOR(msg)
	if err == nil && len(body) >= minPacked {
		body, err = pack(body)
	}
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	return codec.Frame(body), nil
}
