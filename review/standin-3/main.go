// Command standin-3 plays the cases of the third review: it starts instances of the
// project, with stand-ins of the platform, its workers and clients, and checks a rule.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule is broken")

var cases = map[string]func(rec *record, trouble bool) error{
	"11": lostRegistration,
	"12": isolatedHolder,
	"13": lossOfAll,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	err = cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	code := exitHeld
	switch {
	case errors.Is(err, errBroken):
		code = exitBroken
		rec.add("the rule is broken")
	case err != nil:
		code = exitNotRun
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
	default:
		rec.add("the rule holds")
	}
	os.Exit(code)
}
