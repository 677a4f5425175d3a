// Package ticketfile reads change tickets that operators write as TOML files.
package ticketfile

import (
	"fmt"
	"regexp"
	"strings"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/finding"
	"marigoldfront.dev/core/ticket"
	"marigoldfront.dev/infra/settings"
)

// File is a ticket as its author wrote it: without number and digest.
type File struct {
	Author string `toml:"author"`
	Reason string `toml:"reason"`
	// Base is the configuration that the author looked at. If it is set, the
	// ticket is accepted only while that configuration is the newest.
	Base *uint64 `toml:"base"`
	// The objects carry their whole new state.
	Teams    []directory.Team    `toml:"teams"`
	Services []directory.Service `toml:"services"`
	Callers  []directory.Caller  `toml:"callers"`
	Targets  []directory.Target  `toml:"targets"`
	Delete   ObjectNames         `toml:"delete"`

	at     *settings.File
	places map[string]string
}

// ObjectNames lists the objects that the ticket removes.
type ObjectNames struct {
	Teams    []string `toml:"teams"`
	Services []string `toml:"services"`
	Callers  []string `toml:"callers"`
	Targets  []string `toml:"targets"`
}

// Load reads the file at path.
func Load(path string) (*File, finding.List) {
	f := &File{places: map[string]string{}}
	var found finding.List
	f.at, found = settings.Load(path, f)
	if len(found) > 0 {
		return f, found
	}
	if strings.TrimSpace(f.Author) == "" {
		found.Add(f.at.Place("author"), "is missing: name who answers for the change")
	}
	name(f, "teams", f.Teams, func(t directory.Team) string { return t.Name }, &found)
	name(f, "services", f.Services, func(s directory.Service) string { return s.Name }, &found)
	name(f, "callers", f.Callers, func(c directory.Caller) string { return c.Name }, &found)
	name(f, "targets", f.Targets, func(t directory.Target) string { return t.Name }, &found)
	return f, found
}

// name records which entry of the file holds which object.
func name[V any](f *File, kind string, objects []V, nameOf func(V) string, found *finding.List) {
	for i, o := range objects {
		entry := fmt.Sprintf("%s[%d]", kind, i)
		key := fmt.Sprintf("%s[%q]", kind, nameOf(o))
		if _, ok := f.places[key]; ok {
			found.Add(f.at.Place(entry+".name"), "%q is in the file twice", nameOf(o))
			continue
		}
		f.places[key] = entry
	}
}

// Ticket returns the ticket, to be numbered by ticket.Prepare.
func (f *File) Ticket() ticket.Ticket {
	return ticket.Ticket{
		Author: f.Author, Reason: f.Reason,
		Put: directory.State{
			Teams:    keyed(f.Teams, func(t directory.Team) string { return t.Name }),
			Services: keyed(f.Services, func(s directory.Service) string { return s.Name }),
			Callers:  keyed(f.Callers, func(c directory.Caller) string { return c.Name }),
			Targets:  keyed(f.Targets, func(t directory.Target) string { return t.Name }),
		},
		Delete: ticket.ObjectNames(f.Delete),
	}
}

func keyed[V any](objects []V, nameOf func(V) string) map[string]V {
	m := make(map[string]V, len(objects))
	for _, o := range objects {
		m[nameOf(o)] = o
	}
	return m
}

// objectPlace matches places of findings about objects, such as
// `callers["valuations"].team`.
var objectPlace = regexp.MustCompile(`^([a-z]+\[".*?"\])(.*)$`)

// Locate replaces the places of findings about objects of this file by their
// file, line and key. Places of objects of the configuration in force stay.
func (f *File) Locate(l finding.List) finding.List {
	located := make(finding.List, len(l))
	for i, x := range l {
		located[i] = x
		if m := objectPlace.FindStringSubmatch(x.Place); m != nil && f.places[m[1]] != "" {
			located[i].Place = f.place(f.places[m[1]], m[2])
		} else if strings.HasPrefix(x.Place, "delete.") {
			key, _, _ := strings.Cut(x.Place, "[")
			located[i].Place = f.at.Place(key)
		}
	}
	return located
}

// place returns the line of a field of an object. A finding about the object
// as a whole, or a field that the file leaves out, is placed at its name.
func (f *File) place(entry, field string) string {
	field, _, _ = strings.Cut(field, "[")
	if field != "" && f.at.Has(entry+field) {
		return f.at.Place(entry + field)
	}
	at := f.at.Place(entry + ".name")
	return strings.TrimSuffix(at, ".name") + field
}
