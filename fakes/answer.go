package fakes

import (
	"fmt"
	"strings"

	"currantwick"

	"github.com/cespare/xxhash/v2"
)

// Answer returns the first n tokens of the answer that engines give to a prompt
// on a model. Each token is one word and a trailing space. It depends on the
// prompt, the model and its index, so a mixed or truncated answer never
// compares equal.
func Answer(prompt, model string, n wick.Tokens) string {
	return answerPart(answerKey(prompt, model), 0, n)
}

// answerKey identifies the answer to a prompt on a model.
func answerKey(prompt, model string) uint32 {
	return uint32(xxhash.Sum64String(model + "\x00" + prompt))
}

// answerPart returns the tokens from one index up to another.
func answerPart(key uint32, from, to wick.Tokens) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, "w%08x-%d ", key, i)
	}
	return b.String()
}

// promptTokens counts the tokens of a prompt, which are its words.
func promptTokens(prompt string) wick.Tokens {
	return wick.Tokens(len(strings.Fields(prompt)))
}
