package ticket_test

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/finding"
	"marigoldfront.dev/core/ticket"
)

func team(name string, weight int) directory.State {
	return directory.State{Teams: map[string]directory.Team{name: {Name: name, Weight: weight}}}
}

func prepared(t testing.TB, d *directory.Directory, put directory.State, del ticket.ObjectNames) (ticket.Ticket, *directory.Directory) {
	t.Helper()
	tk, next, err := ticket.Prepare(d, ticket.Ticket{Nonce: "n", Author: "ama", Reason: "test", Put: put, Delete: del})
	if err != nil {
		t.Fatal(err)
	}
	return tk, next
}

func Example() {
	t, next, err := ticket.Prepare(directory.Empty(), ticket.Ticket{Nonce: "5f2c", Author: "ama", Reason: "first team",
		Put: directory.State{Teams: map[string]directory.Team{"guild": {Name: "guild", Weight: 2}}}})
	if err != nil {
		fmt.Println(err)
		return
	}
	b, _ := ticket.Encode(t)
	read, _ := ticket.Decode(b)
	d, err := ticket.Apply(directory.Empty(), read)
	fmt.Println(d.Number, d.Digest == next.Digest, err)
	fmt.Println(ticket.Diff(directory.Empty(), d))
	// Output:
	// 1 true <nil>
	// [created team "guild"]
}

// Guards against an older or repeated ticket that reverts the configuration, and
// against a later ticket that skips one (guarantee P8).
func TestApplyAcceptsOnlyNextTicket(t *testing.T) {
	one, d1 := prepared(t, directory.Empty(), team("a", 1), ticket.ObjectNames{})
	two, d2 := prepared(t, d1, team("a", 2), ticket.ObjectNames{})
	three, _ := prepared(t, d2, team("a", 3), ticket.ObjectNames{})
	for _, old := range []ticket.Ticket{one, two} {
		var order *ticket.OrderError
		if _, err := ticket.Apply(d2, old); !errors.As(err, &order) {
			t.Errorf("ticket %d on configuration 2: %v", old.Number, err)
		}
	}
	if _, err := ticket.Apply(d1, three); err == nil {
		t.Error("ticket 3 applied on configuration 1")
	}
	three.Base = 1
	if _, err := ticket.Apply(d2, three); err == nil {
		t.Error("a ticket with a wrong base was applied")
	}
}

// Guards against a corrupted ticket that is put in force.
func TestApplyRejectsWrongDigest(t *testing.T) {
	one, _ := prepared(t, directory.Empty(), team("a", 1), ticket.ObjectNames{})
	one.Put.Teams["a"] = directory.Team{Name: "a", Weight: 9}
	var l finding.List
	_, err := ticket.Apply(directory.Empty(), one)
	if !errors.As(err, &l) || l[0].Place != "tickets[1].digest" {
		t.Errorf("got %v, want a finding at the digest", err)
	}
}

// Guards against a ticket that is valid by itself but makes objects invalid that
// it does not change.
func TestApplyValidatesTheWholeResult(t *testing.T) {
	s := team("a", 1)
	s.Services = map[string]directory.Service{"s": {Name: "s", Owner: "o", ExpectedMS: 1, MaxAttempts: 1}}
	s.Targets = map[string]directory.Target{"t": {Name: "t", Services: []string{"s"}, Region: "r",
		AvailabilityZone: "z", Rack: "k", Address: "127.0.0.1:1", Slots: 1, Connections: 1}}
	s.Callers = map[string]directory.Caller{"c": {Name: "c", Team: "a", Owner: "o",
		TokenSHA256: strings.Repeat("0", 64), Services: []string{"s"}}}
	_, d := prepared(t, directory.Empty(), s, ticket.ObjectNames{})
	bad := map[string]ticket.Ticket{
		`callers["c"].team`:   {Delete: ticket.ObjectNames{Teams: []string{"a"}}},
		`services["s"]`:       {Delete: ticket.ObjectNames{Targets: []string{"t"}}},
		`delete.targets[0]`:   {Delete: ticket.ObjectNames{Targets: []string{"none"}}},
		`delete.teams[0]`:     {Delete: ticket.ObjectNames{Teams: []string{"b"}}, Put: team("b", 1)},
		`tickets[2]`:          {},
		`teams["B "].name`:    {Put: team("B ", 1)},
		`teams["b"].weight`:   {Put: team("b", 0)},
		`services["s"].owner`: {Put: directory.State{Services: map[string]directory.Service{"s": {Name: "s"}}}},
	}
	for place, tk := range bad {
		tk.Nonce, tk.Author = "n", "ama"
		if _, _, err := ticket.Prepare(d, tk); err == nil || !strings.Contains(err.Error(), place+":") {
			t.Errorf("want a finding at %s, got %v", place, err)
		}
	}
}

// Guards against a missing change in conflict messages and in reviews of
// tickets.
func TestDiffListsEveryChange(t *testing.T) {
	_, a := prepared(t, directory.Empty(), directory.State{Teams: map[string]directory.Team{
		"a": {Name: "a", Weight: 1}, "b": {Name: "b", Weight: 1}, "same": {Name: "same", Weight: 1}}}, ticket.ObjectNames{})
	tk, b := prepared(t, a, directory.State{Teams: map[string]directory.Team{
		"b": {Name: "b", Weight: 2}, "c": {Name: "c", Weight: 1}}}, ticket.ObjectNames{Teams: []string{"a"}})
	got := fmt.Sprint(ticket.Diff(a, b))
	if want := `[deleted team "a" changed team "b": weight 1 -> 2 created team "c"]`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got, want := fmt.Sprint(tk.AffectedObjects()), `[team "a" team "b" team "c"]`; got != want {
		t.Errorf("affected objects %s, want %s", got, want)
	}
}

// Guards against decoding a ticket differently from what its writer meant:
// misspelt keys, a second value, a wrong base, or a size above the limit of the
// store.
func TestDecodeIsStrict(t *testing.T) {
	tk, _ := prepared(t, directory.Empty(), team("a", 1), ticket.ObjectNames{})
	good, err := ticket.Encode(tk)
	if err != nil {
		t.Fatal(err)
	}
	bad := map[string][]byte{
		"unknown key":      bytes.Replace(good, []byte(`"weight"`), []byte(`"wait"`), 1),
		"second value":     append(bytes.Clone(good), "{}"...),
		"number zero":      bytes.Replace(good, []byte(`"number":1`), []byte(`"number":0`), 1),
		"wrong base":       bytes.Replace(good, []byte(`"base":0`), []byte(`"base":5`), 1),
		"no nonce":         bytes.Replace(good, []byte(`"nonce":"n"`), []byte(`"nonce":""`), 1),
		"cut":              good[:len(good)-1],
		"above the limit":  append(bytes.Clone(good), bytes.Repeat([]byte(" "), ticket.MaxBytes)...),
		"digest no number": bytes.Replace(good, []byte(`"digest":"`), []byte(`"digest":"x`), 1),
	}
	for name, b := range bad {
		if _, err := ticket.Decode(b); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	tk.Reason = strings.Repeat("x", ticket.MaxBytes)
	if _, err := ticket.Encode(tk); !errors.Is(err, ticket.ErrTooLarge) {
		t.Errorf("oversized ticket encoded: %v", err)
	}
}

// Guards against tickets from the store or a peer that make the decoder panic,
// or that change when they are decoded and encoded again.
func FuzzDecode(f *testing.F) {
	tk, _ := prepared(f, directory.Empty(), team("a", 1), ticket.ObjectNames{})
	b, err := ticket.Encode(tk)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(b[:len(b)/2])
	f.Add([]byte(`{"number":1,"base":0,"nonce":"n","author":"a","put":{"teams":null},"delete":{"teams":[""]},"digest":"0"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		tk, err := ticket.Decode(b)
		if err != nil {
			return
		}
		again, err := ticket.Encode(tk)
		if errors.Is(err, ticket.ErrTooLarge) {
			return // Escapes can make the encoding larger than its source.
		}
		second, err := ticket.Decode(again)
		if err != nil || !reflect.DeepEqual(tk, second) {
			t.Fatalf("the ticket changed when it was encoded again: %v", err)
		}
		_, _ = ticket.Apply(directory.Empty(), tk)
	})
}

// Guards against ApplyAll returning a different result than Apply for each
// ticket, or accepting a corrupted ticket in the middle.
func TestApplyAllEqualsOneByOne(t *testing.T) {
	d := directory.Empty()
	var all []ticket.Ticket
	var steps []*directory.Directory
	for i := range 5 {
		tk, next := prepared(t, d, team(fmt.Sprintf("t%d", i%2), i+1), ticket.ObjectNames{})
		all, steps, d = append(all, tk), append(steps, next), next
	}
	got, err := ticket.ApplyAll(directory.Empty(), all)
	if err != nil || got.Digest != d.Digest || got.Number != 5 {
		t.Errorf("all tickets: %+v, %v", got, err)
	}
	all[2].Put = team("t0", 99)
	got, err = ticket.ApplyAll(directory.Empty(), all[:3])
	if err == nil || got.Digest != steps[1].Digest {
		t.Errorf("with ticket 3 corrupted: configuration %d, %v; want 2 and an error", got.Number, err)
	}
	var order *ticket.OrderError
	if got, err = ticket.ApplyAll(directory.Empty(), []ticket.Ticket{all[0], all[3]}); !errors.As(err, &order) || got.Number != 1 {
		t.Errorf("with a gap: configuration %d, %v; want 1 and an order error", got.Number, err)
	}
}
