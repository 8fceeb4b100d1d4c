package verbs

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"currantwick/boot"
)

func TestState(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != boot.StatePath {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write([]byte(`{"Host":"front-1","Domain":"a","Ready":true,"Config":9,"Daemons":3,
			"Shards":[{"Shard":2,"Holder":"front-3","Fence":41,"Orders":true}],
			"Endpoints":[{"Name":"i-7","Pool":"llm","Domain":"a","Running":5,"Waiting":900,"Adapters":4,"Free":1}]}`))
	}))
	defer server.Close()
	at := server.Listener.Addr().String()
	tests := []struct {
		name string
		args []string
		code Code
		want []string
	}{
		{"tables", []string{"-at", at}, Done, []string{"daemon front-1 in a", "configuration 9", "front-3", "i-7"}},
		{"JSON", []string{"-at", at, "-json"}, Done, []string{`"Fence"`, `"i-7"`}},
		{"no address", nil, Usage, nil},
		{"connection refused", []string{"-at", "127.0.0.1:1"}, Failed, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out, errs bytes.Buffer
			code := Run(t.Context(), Env{Out: &out, Err: &errs}, append([]string{"state"}, test.args...))
			if code != test.code {
				t.Fatalf("code %v, errors %s; want %v", code, errs.String(), test.code)
			}
			for _, s := range test.want {
				if !strings.Contains(out.String(), s) {
					t.Errorf("no %q in %s", s, out.String())
				}
			}
		})
	}
}
