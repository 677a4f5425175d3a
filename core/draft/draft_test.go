package draft

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"marigoldfront.dev/core/catalog"
	"marigoldfront.dev/core/finding"
)

// newDraft returns a valid draft with two queues of one service.
func newDraft() *Draft {
	d := &Draft{
		Version: 4, Place: "version", Services: []Service{{Name: "desk", Place: "services[0]"}},
		Limits: []Value{{"MaxBodyBytes", "262144"}},
	}
	for i, name := range []string{"checks", "valuations"} {
		place := fmt.Sprintf("queues[%d]", i)
		d.Queues = append(d.Queues, Queue{
			Queue: catalog.Queue{
				Name: name, Host: "desk.example", Prefix: "/" + name + "/", Service: "desk", Priority: i, MaxAttempts: 3,
				Timeout: 1500 * time.Millisecond, Stretch: 1.6, Slack: 60 * time.Millisecond,
			},
			Place: place, Places: Places{
				Name: place + ".name", Host: place + ".host", Prefix: place + ".prefix", Service: place + ".service",
				Priority: place + ".priority", Attempts: place + ".attempts", Timeout: place + ".timeout",
				Stretch: place + ".stretch", Slack: place + ".slack",
			},
		})
	}
	return d
}

// Guards against a configuration that is written although instances refuse it, or refuse
// the requests that it is meant to allow, and against a finding without its place.
func TestErrorsAndWarnings(t *testing.T) {
	for name, tc := range map[string]struct {
		change           func(d *Draft)
		errors, warnings []string // places
		served           map[string]bool
	}{
		"valid":                    {change: func(*Draft) {}},
		"no version":               {change: func(d *Draft) { d.Version = 0 }, errors: []string{"version"}},
		"service without a name":   {change: func(d *Draft) { d.Services = append(d.Services, Service{Place: "s1"}) }, errors: []string{"s1"}, warnings: []string{"s1"}},
		"service listed twice":     {change: func(d *Draft) { d.Services = append(d.Services, Service{Name: "desk", Place: "s1"}) }, errors: []string{"s1"}},
		"queue without a service":  {change: func(d *Draft) { d.Queues[1].Service = "" }, errors: []string{"queues[1].service"}},
		"service that is missing":  {change: func(d *Draft) { d.Queues[1].Service = "dsk" }, errors: []string{"queues[1].service"}},
		"queue without a host":     {change: func(d *Draft) { d.Queues[1].Host = "" }, errors: []string{"queues[1].host"}},
		"queue without a prefix":   {change: func(d *Draft) { d.Queues[1].Prefix = "" }, errors: []string{"queues[1].prefix"}},
		"equal names":              {change: func(d *Draft) { d.Queues[1].Name = "checks" }, errors: []string{"queues[1].name"}},
		"negative values":          {change: func(d *Draft) { d.Queues[0].Priority, d.Queues[0].Slack = -1, -1 }, errors: []string{"queues[0].priority", "queues[0].slack"}},
		"hidden by an earlier one": {change: func(d *Draft) { d.Queues[1].Prefix = "/checks/" }, warnings: []string{"queues[1].prefix"}},
		"equal prefix, other host": {change: func(d *Draft) { d.Queues[1].Prefix, d.Queues[1].Host = "/checks/", "other.example" }},
		"longer prefix":            {change: func(d *Draft) { d.Queues[1].Prefix = "/checks/urgent/" }},
		"takes ids of another":     {change: func(d *Draft) { d.Queues[0].Prefix = "/checks/a7" }, warnings: nil},
		"takes ids of the first":   {change: func(d *Draft) { d.Queues[1].Prefix = "/checks/a7" }, warnings: []string{"queues[1].prefix"}},
		"prefix without a slash":   {change: func(d *Draft) { d.Queues[1].Prefix = "checks/" }, warnings: []string{"queues[1].prefix"}},
		"host with a path":         {change: func(d *Draft) { d.Queues[1].Host = "desk.example/x" }, warnings: []string{"queues[1].host"}},
		"timeout below the slack":  {change: func(d *Draft) { d.Queues[0].Timeout = 50 * time.Millisecond }, warnings: []string{"queues[0].timeout"}},
		"timeout above the limit":  {change: func(d *Draft) { d.Queues[0].Timeout = time.Hour }, warnings: []string{"queues[0].timeout"}},
		"no timeout":               {change: func(d *Draft) { d.Queues[0].Timeout = 0 }},
		"no attempts":              {change: func(d *Draft) { d.Queues[0].MaxAttempts = 0 }, warnings: []string{"queues[0].attempts"}},
		"stretch below 1":          {change: func(d *Draft) { d.Queues[0].Stretch = 0.5 }, warnings: []string{"queues[0].stretch"}},
		"service without queues":   {change: func(d *Draft) { d.Services = append(d.Services, Service{Name: "old", Place: "s1"}) }, warnings: []string{"s1"}},
		"service without targets":  {change: func(*Draft) {}, served: map[string]bool{"old": true}, warnings: []string{"services[0]"}},
		"service with targets":     {change: func(*Draft) {}, served: map[string]bool{"desk": true}},
	} {
		d := newDraft()
		tc.change(d)
		if got := places(d.Errors()); !slices.Equal(got, tc.errors) {
			t.Errorf("%s: errors at %v, want %v", name, got, tc.errors)
		}
		if got := places(d.Warnings(tc.served)); !slices.Equal(got, tc.warnings) {
			t.Errorf("%s: warnings at %v, want %v", name, got, tc.warnings)
		}
	}
}

func places(found finding.List) (all []string) {
	for _, f := range found {
		all = append(all, f.Place)
	}
	return all
}

// Guards against a warning that contradicts the way in which requests find their queue.
func TestUnreachableQueuesGetNoRequests(t *testing.T) {
	d := newDraft()
	d.Queues[1].Prefix = "/checks/"
	var queues []catalog.Queue
	for i := range d.Queues {
		queues = append(queues, d.Queues[i].Queue)
	}
	q, _, ok := catalog.New(d.Version, queues, []string{"desk"}).Find("desk.example", "/checks/0123456789abcdef")
	if !ok || q.Name != "checks" || len(d.Warnings(nil)) != 1 {
		t.Errorf("the request goes to %q, and the warnings are %v", q.Name, d.Warnings(nil))
	}
}

// Guards against a difference that is not shown, also in values that instances do not
// use, and against one that is shown without cause.
func TestDiff(t *testing.T) {
	if got := Diff(newDraft(), newDraft()); len(got) != 0 {
		t.Errorf("equal configurations differ: %v", got)
	}
	d := newDraft()
	d.Version = 5
	d.Limits = []Value{{"MaxBodyBytes", "100000"}, {"MaxHeaderBytes", "16384"}}
	d.Services[0].Values = []Value{{"MaxConns", "64"}}
	d.Queues[0].Timeout = 2 * time.Second
	d.Queues[0].Values = []Value{{"Type", `"safe"`}}
	d.Queues[1].Name = "appraisals"
	var got []string
	for _, c := range Diff(newDraft(), d) {
		got = append(got, c.String())
	}
	want := []string{
		`changed version: version 4 -> 5`,
		`changed limit "MaxBodyBytes": value 262144 -> 100000`,
		`created limit "MaxHeaderBytes"`,
		`changed service "desk": MaxConns (not set) -> 64`,
		`changed queue "checks": timeout 1.5s -> 2s, Type (not set) -> "safe"`,
		`created queue "appraisals"`,
		`deleted queue "valuations"`,
	}
	if !slices.Equal(got, want) {
		t.Errorf("the changes are\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// Guards against a field of a queue that the comparison leaves out.
func TestDiffComparesAllFieldsOfAQueue(t *testing.T) {
	fields := reflect.TypeFor[catalog.Queue]()
	for i := range fields.NumField() {
		d := newDraft()
		switch v := reflect.ValueOf(&d.Queues[0].Queue).Elem().Field(i); v.Kind() {
		case reflect.String:
			v.SetString("other")
		case reflect.Int, reflect.Int64:
			v.SetInt(v.Int() + 1)
		case reflect.Float64:
			v.SetFloat(v.Float() + 1)
		default:
			t.Fatalf("the field %s has a kind that this test does not change", fields.Field(i).Name)
		}
		if len(Diff(newDraft(), d)) == 0 {
			t.Errorf("a change of %s is not shown", fields.Field(i).Name)
		}
	}
}

func ExampleDraft_Errors() {
	d := &Draft{
		Version: 7, Services: []Service{{Name: "desk"}},
		Queues: []Queue{{
			Queue:  catalog.Queue{Name: "checks", Host: "desk.example", Prefix: "/checks/", Service: "dsk"},
			Places: Places{Service: "change.json:4: Routes[0].Service"},
		}},
	}
	fmt.Println(d.Errors())
	// Output: change.json:4: Routes[0].Service: the service "dsk" is not listed, so that no instance claims targets for it
}
