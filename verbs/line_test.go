package verbs

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"io"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"testing"

	"currantwick/platform"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// existingFlags lists the flags of all verbs when the command line was still
// parsed by package flag. Settings of daemons and scripts of operators use
// them, so that none may go or change its default.
var existingFlags = []struct {
	verb, flag string
	// initial is the default, with environment variables set to their own names.
	initial string
	// value is one that the flag takes; of strings, one that looks like a flag.
	value string
}{
	{"serve", "print-defaults", "false", "true"},
	{"serve", "settings", "", "-x=1 y"},
	{"gateway", "log", "info", "-x=1 y"},
	{"gateway", "metrics", "", "-x=1 y"},
	{"gateway", "settings", platform.SettingsVariable, "-x=1 y"},
	{"check", "file", "", "-x=1 y"},
	{"check", "onto", "", "-x=1 y"},
	{"check", "settings", "", "-x=1 y"},
	{"apply", "admin", "CURRANTWICK_ADMIN", "-x=1 y"},
	{"apply", "based", "false", "true"},
	{"apply", "ca", "CURRANTWICK_CA", "-x=1 y"},
	{"apply", "dry-run", "false", "true"},
	{"apply", "file", "", "-x=1 y"},
	{"apply", "id", "", "-x=1 y"},
	{"apply", "json", "false", "true"},
	{"apply", "operator", "CURRANTWICK_OPERATOR", "-x=1 y"},
	{"apply", "prune", "false", "true"},
	{"apply", "split", "false", "true"},
	{"apply", "token-file", "CURRANTWICK_TOKEN_FILE", "-x=1 y"},
	{"get", "admin", "CURRANTWICK_ADMIN", "-x=1 y"},
	{"get", "ca", "CURRANTWICK_CA", "-x=1 y"},
	{"get", "kind", "", "-x=1 y"},
	{"get", "name", "", "-x=1 y"},
	{"get", "token-file", "CURRANTWICK_TOKEN_FILE", "-x=1 y"},
	{"diff", "admin", "CURRANTWICK_ADMIN", "-x=1 y"},
	{"diff", "ca", "CURRANTWICK_CA", "-x=1 y"},
	{"diff", "file", "", "-x=1 y"},
	{"diff", "prune", "false", "true"},
	{"diff", "token-file", "CURRANTWICK_TOKEN_FILE", "-x=1 y"},
	{"status", "admin", "CURRANTWICK_ADMIN", "-x=1 y"},
	{"status", "ca", "CURRANTWICK_CA", "-x=1 y"},
	{"status", "json", "false", "true"},
	{"status", "token-file", "CURRANTWICK_TOKEN_FILE", "-x=1 y"},
	{"drain", "admin", "CURRANTWICK_ADMIN", "-x=1 y"},
	{"drain", "ca", "CURRANTWICK_CA", "-x=1 y"},
	{"drain", "endpoint", "", "-x=1 y"},
	{"drain", "operator", "CURRANTWICK_OPERATOR", "-x=1 y"},
	{"drain", "token-file", "CURRANTWICK_TOKEN_FILE", "-x=1 y"},
	{"drain", "within", "1h0m0s", "1m30s"},
	{"gone", "admin", "CURRANTWICK_ADMIN", "-x=1 y"},
	{"gone", "ca", "CURRANTWICK_CA", "-x=1 y"},
	{"gone", "hosts", "", "-x=1 y"},
	{"gone", "token-file", "CURRANTWICK_TOKEN_FILE", "-x=1 y"},
	{"entries", "ca", "CURRANTWICK_CA", "-x=1 y"},
	{"entries", "domain", "", "-x=1 y"},
	{"entries", "entry", "", "-x=1 y"},
	{"entries", "json", "false", "true"},
	{"audit", "admin", "CURRANTWICK_ADMIN", "-x=1 y"},
	{"audit", "ca", "CURRANTWICK_CA", "-x=1 y"},
	{"audit", "change", "", "-x=1 y"},
	{"audit", "follow", "false", "true"},
	{"audit", "from", "1", "7"},
	{"audit", "json", "false", "true"},
	{"audit", "operator", "", "-x=1 y"},
	{"audit", "rejected", "false", "true"},
	{"audit", "token-file", "CURRANTWICK_TOKEN_FILE", "-x=1 y"},
	{"keys", "dir", "keys", "-x=1 y"},
	{"keys", "hosts", "", "-x=1 y"},
	{"keys", "life", "8760h0m0s", "1m30s"},
	{"keys", "retire", "false", "true"},
	{"keys", "rotate", "false", "true"},
	{"state", "at", "", "-x=1 y"},
	{"state", "json", "false", "true"},
	{"trace", "request", "", "-x=1 y"},
}

// variables lists the environment variables that hold defaults of flags.
var variables = []string{envAdmin, envTokenFile, envCA, envOperator, platform.SettingsVariable}

// parse parses a command line of a verb without running it.
func parse(t *testing.T, args ...string) (*cobra.Command, error) {
	t.Helper()
	root := newRoot(Env{Out: io.Discard, Err: io.Discard})
	args = normalizeArgs(root, args)
	cmd, rest, err := root.Find(args)
	if err != nil {
		t.Fatal(err)
	}
	if cmd.Name() != args[0] {
		t.Fatalf("%v is parsed as %s", args, cmd.CommandPath())
	}
	return cmd, cmd.ParseFlags(rest)
}

// TestExistingFlags guards against a flag that is lost, has another default or
// takes only one dash or only two.
func TestExistingFlags(t *testing.T) {
	for _, name := range variables {
		t.Setenv(name, name)
	}
	for _, test := range existingFlags {
		t.Run(test.verb+" "+test.flag, func(t *testing.T) {
			cmd, err := parse(t, test.verb)
			if err != nil {
				t.Fatal(err)
			}
			f := cmd.Flags().Lookup(test.flag)
			if f == nil {
				t.Fatal("no such flag")
			}
			if f.Value.String() != test.initial {
				t.Errorf("default %q, want %q", f.Value, test.initial)
			}
			forms := [][]string{{test.flag + "=" + test.value}, {test.flag, test.value}}
			if f.Value.Type() == "bool" {
				forms = [][]string{{test.flag + "=" + test.value}, {test.flag}}
			}
			for _, form := range forms {
				for _, dashes := range []string{"-", "--"} {
					args := append([]string{test.verb, dashes + form[0]}, form[1:]...)
					cmd, err := parse(t, append(args, "rest")...)
					if err != nil {
						t.Errorf("%q: %v", args, err)
						continue
					}
					f := cmd.Flags().Lookup(test.flag)
					if f.Value.String() != test.value || !slices.Equal(cmd.Flags().Args(), []string{"rest"}) {
						t.Errorf("%q: value %q, arguments %q", args, f.Value, cmd.Flags().Args())
					}
				}
			}
		})
	}
}

// reference returns the flags of a command as those of package flag.
func reference(flags *pflag.FlagSet) *flag.FlagSet {
	out := flag.NewFlagSet("", flag.ContinueOnError)
	out.SetOutput(io.Discard)
	flags.VisitAll(func(f *pflag.Flag) {
		switch f.Value.Type() {
		case "bool":
			if f.Name != "help" {
				out.Bool(f.Name, false, "")
			}
		case "uint64":
			out.Uint64(f.Name, 1, "")
		case "duration":
			out.Duration(f.Name, 0, "")
		default:
			out.String(f.Name, f.DefValue, "")
		}
	})
	return out
}

// TestParsesLikePackageFlag guards against command lines that are read in
// another way, or refused with another reason, than by package flag, which
// parsed them before.
func TestParsesLikePackageFlag(t *testing.T) {
	tests := []struct {
		name string
		args []string
	}{
		{"no arguments", []string{"audit"}},
		{"dashes mixed", []string{"audit", "-from=3", "--follow", "-operator", "ana", "--json"}},
		{"negative value", []string{"drain", "-within", "-5s"}},
		{"value is a flag's name", []string{"audit", "-operator", "-json", "-change", "--follow"}},
		{"value is two dashes", []string{"audit", "-operator", "--", "-json"}},
		{"value holds equals signs", []string{"audit", "-operator=a=b", "-change", "c=d"}},
		{"empty values", []string{"audit", "-operator=", "-change", ""}},
		{"standard input", []string{"check", "-file", "-", "-onto", "x"}},
		{"last value counts", []string{"check", "-file", "a", "--file", "b"}},
		{"bool takes no argument", []string{"audit", "-json", "false", "-follow"}},
		{"bool false", []string{"audit", "-json=false", "-follow=0", "-rejected=T"}},
		{"flags after an argument", []string{"trace", "-request", "x", "a.log", "-request", "y"}},
		{"flags after two dashes", []string{"trace", "-request", "x", "--", "-a.log"}},
		{"one dash is an argument", []string{"trace", "-request", "x", "-", "-request", "y"}},
		{"empty argument", []string{"trace", "", "-request", "y"}},
		{"number of another base", []string{"audit", "-from", "0x10"}},
		{"unknown flag", []string{"check", "-nonsense"}},
		{"unknown flag with two dashes", []string{"check", "--nonsense=1"}},
		{"unknown letter", []string{"check", "-x"}},
		{"letters of a flag", []string{"check", "-f", "a"}},
		{"abbreviated flag", []string{"check", "-set", "a"}},
		{"name that pflag skips", []string{"check", "-test.v"}},
		{"missing value", []string{"check", "-file"}},
		{"bad number", []string{"audit", "-from", "x"}},
		{"negative number", []string{"audit", "-from", "-1"}},
		{"large number", []string{"audit", "-from", "99999999999999999999"}},
		{"bad duration", []string{"drain", "-within", "5"}},
		{"bad bool", []string{"audit", "-json=maybe"}},
		{"empty bool", []string{"audit", "-json="}},
		{"three dashes", []string{"check", "---file"}},
		{"no name", []string{"check", "--=x"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cmd, err := parse(t, test.args...)
			want := reference(cmd.Flags())
			wantErr := want.Parse(test.args[1:])
			if wantErr != nil || err != nil {
				if wantErr == nil || err == nil || translateFlagError(err).Error() != wantErr.Error() {
					t.Errorf("error %v, want %v", err, wantErr)
				}
				return
			}
			if got := cmd.Flags().Args(); !slices.Equal(got, want.Args()) {
				t.Errorf("arguments %q, want %q", got, want.Args())
			}
			want.Visit(func(f *flag.Flag) {
				if got := cmd.Flags().Lookup(f.Name).Value.String(); got != f.Value.String() {
					t.Errorf("-%s is %q, want %q", f.Name, got, f.Value)
				}
			})
		})
	}
}

// TestRun checks exit codes and which output goes where. A case without a text
// for a stream wants nothing on it.
func TestRun(t *testing.T) {
	// The tests of -settings must not read a file that the environment names.
	t.Setenv(platform.SettingsVariable, "")
	tests := []struct {
		name      string
		args      []string
		code      Code
		out, errs string
	}{
		{"no verb", nil, Usage, "", "usage: currantwick VERB"},
		{"dashes and no verb", []string{"--"}, Usage, "", "currantwick: no verb given\n"},
		{"flag that is off and no verb", []string{"--version=false"}, Usage, "", "currantwick: no verb given\n"},
		{"unknown verb", []string{"nonsense"}, Usage, "", `no verb "nonsense"`},
		{"empty verb", []string{""}, Usage, "", `no verb ""`},
		{"unknown verb before a known one", []string{"nonsense", "check"}, Usage, "", `no verb "nonsense"`},
		{"abbreviated verb", []string{"gate"}, Usage, "", `no verb "gate"`},
		{"unknown flag for a verb", []string{"--nonsense"}, Usage, "", "flag provided but not defined: -nonsense"},
		{"unknown flag before a verb", []string{"-nonsense", "demo"}, Usage, "", "flag provided but not defined: -nonsense"},
		{"help flag", []string{"--help"}, Done, "  3  unknown: the change may take effect", ""},
		{"help flag, one dash", []string{"-help"}, Done, "usage: currantwick VERB", ""},
		{"help flag, short", []string{"-h"}, Done, "usage: currantwick VERB", ""},
		{"help", []string{"help"}, Done, "usage: currantwick VERB", ""},
		{"help of a verb", []string{"help", "apply"}, Done, "  3  the change may take effect", ""},
		{"help of help", []string{"help", "help"}, Done, "currantwick help [FLAGS] [VERB]", ""},
		{"help of no verb", []string{"help", "nonsense"}, Usage, "", `no verb "nonsense"`},
		{"verb with help flag", []string{"apply", "--help"}, Done, "", "Example:\n  currantwick "},
		{"verb with help flag, one dash", []string{"apply", "-help"}, Done, "", "Example:\n  currantwick "},
		{"verb with help flag, short", []string{"apply", "-h"}, Done, "", "Example:\n  currantwick "},
		{"verb with help flag, short with two dashes", []string{"apply", "--h"}, Done, "", "Example:\n  currantwick "},
		{"help flag before a verb", []string{"--help", "apply"}, Done, "", "Example:\n  currantwick "},
		{"version", []string{"--version"}, Done, "currantwick version ", ""},
		{"version, one dash", []string{"-version"}, Done, "currantwick version ", ""},
		{"version of a verb", []string{"check", "--version"}, Usage, "", "flag provided but not defined: -version"},
		{"unknown flag", []string{"check", "-nonsense"}, Usage, "", "currantwick check: flag provided but not defined: -nonsense\n"},
		{"unknown flag, two dashes", []string{"check", "--nonsense"}, Usage, "", "currantwick check: flag provided but not defined: -nonsense\n"},
		{"missing value", []string{"check", "-file"}, Usage, "", "currantwick check: flag needs an argument: -file\n"},
		{"bad value", []string{"keys", "-life", "x"}, Usage, "", `currantwick keys: invalid value "x" for flag -life: parse error`},
		{"flags that contradict", []string{"check"}, Usage, "", "currantwick check: exactly one of -file and -settings must be set\n"},
		{"failure", []string{"check", "-file", "/nonexistent/x"}, Failed, "", "currantwick check: read configuration: "},
		{"settings missing", []string{"gateway", "-settings", "/nonexistent/x"}, Usage, "", "currantwick gateway: "},
		{"arguments that a verb ignores", []string{"serve", "-print-defaults", "rest", "-nonsense"}, Done, `"TTL"`, ""},
		{"completion for bash", []string{"completion", "bash"}, Done, "complete -o default -F __start_currantwick currantwick", ""},
		{"completion for zsh", []string{"completion", "zsh"}, Done, "#compdef currantwick", ""},
		{"completion for fish", []string{"completion", "fish"}, Done, "complete -c currantwick", ""},
		{"completion for no shell", []string{"completion"}, Usage, "", "exactly one of bash, zsh and fish"},
		{"completion for another shell", []string{"completion", "tcsh"}, Usage, "", `no completion for "tcsh"`},
		{"verbs completed", []string{"__complete", "gat"}, Done, "gateway\t", "Completion ended"},
		{"flags completed after one with one dash", []string{"__complete", "check", "-file", "x", "--on"}, Done, "--onto\t", "Completion ended"},
		{"values completed", []string{"__complete", "get", "-kind", ""}, Done, "Endpoint\n", "Completion ended"},
		{"values completed after an equals sign", []string{"__complete", "get", "-kind=P"}, Done, "Pool\n", "Completion ended"},
		{"files completed as values", []string{"__complete", "check", "-file", ""}, Done, ":0\n", "ShellCompDirectiveDefault"},
		{"files completed as arguments", []string{"__complete", "trace", "-request", "x", ""}, Done, ":0\n", "ShellCompDirectiveDefault"},
		{"shells completed", []string{"__complete", "completion", ""}, Done, "fish\n", "Completion ended"},
		{"nothing to complete", []string{"__complete"}, Usage, "", "requires at least 1 arg"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out, errs bytes.Buffer
			code := Run(t.Context(), Env{In: strings.NewReader(""), Out: &out, Err: &errs}, test.args)
			if code != test.code {
				t.Errorf("exit code %d, want %d", code, test.code)
			}
			streams := []struct{ name, got, want string }{
				{"output", out.String(), test.out},
				{"errors", errs.String(), test.errs},
			}
			for _, s := range streams {
				if !strings.Contains(s.got, s.want) || s.want == "" && s.got != "" {
					t.Errorf("%s:\n%s\nwant %q", s.name, s.got, s.want)
				}
			}
		})
	}
}

// TestHelpOfAllVerbs guards against a verb without an example or exit codes, and
// against completions for a flag that does not exist.
func TestHelpOfAllVerbs(t *testing.T) {
	for _, v := range list {
		t.Run(v.name, func(t *testing.T) {
			var out bytes.Buffer
			if code := Run(t.Context(), Env{Out: &out, Err: io.Discard}, []string{"help", v.name}); code != Done {
				t.Errorf("exit code %d", code)
			}
			for _, want := range []string{"currantwick " + v.name + ": ", "Example:\n  currantwick ", "Exit codes:\n  0  ", "\n  2  "} {
				if !strings.Contains(out.String(), want) {
					t.Errorf("no %q in:\n%s", want, out.String())
				}
			}
			cmd := v.command(Env{Out: &out, Err: os.Stderr})
			for name := range v.values {
				if _, ok := cmd.GetFlagCompletionFunc(name); !ok {
					t.Errorf("values for -%s, which does not exist", name)
				}
			}
		})
	}
}

// TestExitError guards against a verb's exit code that is lost or printed as an
// error.
func TestExitError(t *testing.T) {
	cause := errors.New("cause")
	tests := []struct {
		name string
		code Code
		err  error
		errs string
	}{
		{"done", Done, nil, ""},
		{"rejected", Failed, nil, ""},
		{"unknown", Unknown, cause, "currantwick v: cause\n"},
		{"usage", Usage, cause, "currantwick v: cause\n"},
		{"done with an error", Done, cause, "currantwick v: cause\n"},
	}
	saved := list
	defer func() { list = saved }()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			list = []verb{{name: "v", define: func(*pflag.FlagSet) action {
				return func(context.Context, Env, []string) (Code, error) { return test.code, test.err }
			}}}
			var out, errs bytes.Buffer
			code := Run(t.Context(), Env{Out: &out, Err: &errs}, []string{"v"})
			if code != test.code || out.String() != "" || errs.String() != test.errs {
				t.Errorf("exit code %d, output %q, errors %q", code, out.String(), errs.String())
			}
		})
	}
}

func TestVersionText(t *testing.T) {
	tests := []struct {
		name string
		info debug.BuildInfo
		want string
	}{
		{"no version control", debug.BuildInfo{GoVersion: "go1.26.0", Main: debug.Module{Version: "(devel)"}}, "(devel), go1.26.0"},
		{"nothing known", debug.BuildInfo{GoVersion: "go1.26.0"}, "unknown, go1.26.0"},
		{"revision", debug.BuildInfo{
			GoVersion: "go1.26.0", Main: debug.Module{Version: "v1.2.3"},
			Settings: []debug.BuildSetting{{Key: "vcs.revision", Value: "c890890"}, {Key: "vcs.modified", Value: "false"}},
		}, "v1.2.3, revision c890890, go1.26.0"},
		{"changed since the revision", debug.BuildInfo{
			GoVersion: "go1.26.0", Main: debug.Module{Version: "v1.2.3"},
			Settings: []debug.BuildSetting{{Key: "vcs.revision", Value: "c890890"}, {Key: "vcs.modified", Value: "true"}},
		}, "v1.2.3, revision c890890, with local changes, go1.26.0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := versionText(&test.info); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}
