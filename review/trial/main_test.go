// Package trial has the stand-ins and the checks of the cases that are shown by a
// script. It is built as a test binary; without the name of a case it does nothing.
package trial

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	codeHeld = iota
	codeBroken
	codeUnusable
)

// maxTime bounds a case.
const maxTime = 100 * time.Second

// caseName names the environment variable with the name of the case to run.
const caseName = "TRIAL_CASE"

// cases are the checks by name. Each reports whether the rule was broken.
var cases = map[string]func(*deployment) (broken bool, err error){
	"stop-waiting": stopWaiting,
	"lost-removal": lostRemoval,
	"lease-wait":   leaseWait,
}

func TestMain(m *testing.M) {
	name := os.Getenv(caseName)
	if name == "" {
		os.Exit(m.Run())
	}
	os.Exit(runCase(name))
}

func runCase(name string) int {
	check := cases[name]
	if check == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return codeUnusable
	}
	d, err := newDeployment(os.Getenv("TRIAL_DAEMON"), os.Getenv("TRIAL_RECORD"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return codeUnusable
	}
	defer d.close()
	time.AfterFunc(maxTime, func() {
		d.notef("the case takes too long")
		d.close()
		os.Exit(codeUnusable)
	})
	broken, err := check(d)
	switch {
	case err != nil:
		d.notef("the case could not run: %v", err)
		return codeUnusable
	case broken:
		d.notef("the rule was broken")
		return codeBroken
	}
	d.notef("the rule held")
	return codeHeld
}
