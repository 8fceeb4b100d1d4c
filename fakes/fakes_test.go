package fakes

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"currantwick"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

func TestAnswerIsNeverMixed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.String().Draw(t, "prompt")
		n := wick.Tokens(rapid.IntRange(1, 50).Draw(t, "n"))
		cut := wick.Tokens(rapid.IntRange(0, int(n)).Draw(t, "cut"))
		whole := Answer(prompt, "a@v1", n)
		if got := promptTokens(whole); got != n {
			t.Fatalf("%d tokens, want %d", got, n)
		}
		key := answerKey(prompt, "a@v1")
		if answerPart(key, 0, cut)+answerPart(key, cut, n) != whole {
			t.Fatal("the parts differ from the whole answer")
		}
		for _, other := range []string{Answer(prompt+"x", "a@v1", n), Answer(prompt, "a@v2", n)} {
			if other == whole {
				t.Fatal("different requests have the same answer")
			}
		}
	})
}

func TestPrefixCache(t *testing.T) {
	prompt := func(shared, unshared int) string {
		words := make([]string, 0, shared+unshared)
		for i := range shared {
			words = append(words, fmt.Sprintf("s%d", i))
		}
		for i := range unshared {
			words = append(words, fmt.Sprintf("o%d-%d", shared, i))
		}
		return strings.Join(words, " ")
	}
	tests := []struct {
		name          string
		size          wick.Tokens
		first, second string
		model         string
		want          wick.Tokens
	}{
		{"same", 160, prompt(40, 0), prompt(40, 0), "a", 32},
		{"shared prefix", 160, prompt(64, 0), prompt(32, 32), "a", 32},
		{"other adapter", 160, prompt(64, 0), prompt(64, 0), "b", 0},
		{"no cache", 0, prompt(64, 0), prompt(64, 0), "a", 0},
		{"too small", 32, prompt(64, 0), prompt(64, 0), "a", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPrefixCache(test.size)
			p.use("a", test.first)
			if got := p.use(test.model, test.second); got != test.want {
				t.Errorf("%d tokens were cached, want %d", got, test.want)
			}
		})
	}
}

// TestStoreTimes checks the total time of concurrent loads against the formula,
// and the store's counters.
func TestStoreTimes(t *testing.T) {
	load := wick.Duration(50 * time.Millisecond)
	tests := []struct {
		name   string
		cfg    StoreConfig
		loads  int
		least  time.Duration
		most   time.Duration
		waited int
	}{
		{"one", StoreConfig{Rate: 10, FullSpeed: 1, Knee: 4, LoadTime: load}, 1, 50 * time.Millisecond, 95 * time.Millisecond, 0},
		{"up to the knee", StoreConfig{FullSpeed: 4, Knee: 8, LoadTime: load}, 8, 50 * time.Millisecond, 95 * time.Millisecond, 0},
		{"past the knee", StoreConfig{FullSpeed: 4, Knee: 4, LoadTime: load}, 16, 200 * time.Millisecond, 300 * time.Millisecond, 0},
		{"over the rate", StoreConfig{Rate: 10, FullSpeed: 2, Knee: 16, LoadTime: load}, 4, 240 * time.Millisecond, 350 * time.Millisecond, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, err := StartStore(test.cfg)
			if err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			var wg sync.WaitGroup
			for range test.loads {
				wg.Go(func() {
					if err := s.Load(context.Background()); err != nil {
						t.Error(err)
					}
				})
			}
			wg.Wait()
			if d := time.Since(start); d < test.least || d > test.most {
				t.Errorf("took %v, want %v to %v", d, test.least, test.most)
			}
			st := s.Stats()
			if st.Starts != test.loads || st.Peak > wick.Slots(test.loads) || st.Waited != test.waited {
				t.Errorf("stats %+v", st)
			}
		})
	}
}

func TestEngineBatches(t *testing.T) {
	e, err := StartEngine(EngineConfig{
		Address: "127.0.0.1:0", Model: "m", BatchSlots: 4,
		Base: wick.Duration(4 * time.Millisecond), PerSequence: wick.Duration(time.Millisecond),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	const requests, tokens = 8, 10
	start := time.Now()
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			prompt := fmt.Sprintf("prompt %d want:m ", i)
			body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d}`, prompt, tokens)
			got := post(t, e.Address(), "/v1/completions", body)
			if want := Answer(prompt, "m", tokens); !strings.Contains(got, want) {
				t.Errorf("got %s, want %s", got, want)
			}
		})
	}
	wg.Wait()
	st := e.Stats()
	if st.Tokens != requests*tokens || st.Finished != requests || st.WrongModel != 0 {
		t.Errorf("stats %+v", st)
	}
	if full := float64(st.BatchSum) / float64(st.Steps) / 4; full < 0.7 {
		t.Errorf("batch efficiency %.2f", full)
	}
	if d := time.Since(start); d < 2*tokens*8*time.Millisecond {
		t.Errorf("two full batches took %v", d)
	}
}

func TestEngineRestartsCold(t *testing.T) {
	e, err := StartEngine(EngineConfig{
		Address: "127.0.0.1:0", Model: "m", AdapterSlots: 2, Base: wick.Duration(time.Millisecond),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	post(t, e.Address(), "/v1/load_lora_adapter", `{"lora_name":"a@v1","lora_path":"p"}`)
	boot := e.laggedReport().Boot
	marker := "KILL"
	e.Control(EngineControl{KillMarker: &marker, KillDown: wick.Duration(50 * time.Millisecond)})
	err = postErr(e.Address(), "/v1/completions", `{"model":"a@v1","prompt":"please KILL","max_tokens":3}`)
	if err == nil {
		t.Error("a request that crashes the engine was answered")
	}
	deadline := time.Now().Add(5 * time.Second)
	for postErr(e.Address(), "/v1/completions", `{"model":"m","prompt":"x"}`) != nil {
		if time.Now().After(deadline) {
			t.Fatal("the engine did not restart in time")
		}
	}
	r := e.laggedReport()
	if r.Boot == boot || len(r.Resident) != 0 || e.Stats().Crashes != 1 {
		t.Errorf("report after the restart: %+v", r)
	}
}

func post(t *testing.T, addr wick.Address, path, body string) string {
	t.Helper()
	got, err := exchange(addr, path, body)
	if err != nil {
		t.Errorf("%s: %v", path, err)
	}
	return got
}

func postErr(addr wick.Address, path, body string) error {
	_, err := exchange(addr, path, body)
	return err
}

func exchange(addr wick.Address, path, body string) (string, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + string(addr) + path)
	req.SetBodyString(body)
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	if err := client.DoTimeout(req, resp, 5*time.Second); err != nil {
		return "", err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return "", fmt.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
	}
	return string(resp.Body()), nil
}
