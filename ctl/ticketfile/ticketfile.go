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

// File is a ticket as its author wrote it, without number and digest.
type File struct {
	Author string `toml:"author"`
	Reason string `toml:"reason"`
	// Base is the number of the ticket that the author's change is based on. If
	// it is set, the ticket is accepted only while that one is the newest.
	Base *uint64 `toml:"base"`
	// Teams, Services, Callers and Targets are the objects to create or replace,
	// each with its complete new state.
	Teams    []directory.Team    `toml:"teams"`
	Services []directory.Service `toml:"services"`
	Callers  []directory.Caller  `toml:"callers"`
	Targets  []directory.Target  `toml:"targets"`
	Delete   ObjectNames         `toml:"delete"`

	source *settings.File
	// entries maps the key of an object in a finding, such as teams["dealers"],
	// to its key in the file, such as teams[0].
	entries map[string]string
}

// ObjectNames lists the objects that the ticket deletes.
type ObjectNames struct {
	Teams    []string `toml:"teams"`
	Services []string `toml:"services"`
	Callers  []string `toml:"callers"`
	Targets  []string `toml:"targets"`
}

// Load reads the ticket file at path. The findings name wrong keys and types, a
// missing author and objects that are defined twice.
func Load(path string) (*File, finding.List) {
	f := &File{entries: map[string]string{}}
	var found finding.List
	f.source, found = settings.Load(path, f)
	if len(found) > 0 {
		return f, found
	}
	if strings.TrimSpace(f.Author) == "" {
		found.Add(f.source.Place("author"), "is missing: name the person or team responsible for the change")
	}
	indexEntries(f, "teams", f.Teams, func(t directory.Team) string { return t.Name }, &found)
	indexEntries(f, "services", f.Services, func(s directory.Service) string { return s.Name }, &found)
	indexEntries(f, "callers", f.Callers, func(c directory.Caller) string { return c.Name }, &found)
	indexEntries(f, "targets", f.Targets, func(t directory.Target) string { return t.Name }, &found)
	return f, found
}

// indexEntries records the entry of the file that defines each object, and adds
// a finding for an object that is defined twice.
func indexEntries[V any](f *File, kind string, objects []V, nameOf func(V) string, found *finding.List) {
	for i, o := range objects {
		entry := fmt.Sprintf("%s[%d]", kind, i)
		key := fmt.Sprintf("%s[%q]", kind, nameOf(o))
		if _, ok := f.entries[key]; ok {
			found.Add(f.source.Place(entry+".name"), "%q is defined twice in the file", nameOf(o))
			continue
		}
		f.entries[key] = entry
	}
}

// Ticket returns the ticket of the file. ticket.Prepare sets its number, base
// and digest.
func (f *File) Ticket() ticket.Ticket {
	return ticket.Ticket{
		Author: f.Author, Reason: f.Reason,
		Put: directory.State{
			Teams:    byName(f.Teams, func(t directory.Team) string { return t.Name }),
			Services: byName(f.Services, func(s directory.Service) string { return s.Name }),
			Callers:  byName(f.Callers, func(c directory.Caller) string { return c.Name }),
			Targets:  byName(f.Targets, func(t directory.Target) string { return t.Name }),
		},
		Delete: ticket.ObjectNames(f.Delete),
	}
}

func byName[V any](objects []V, nameOf func(V) string) map[string]V {
	m := make(map[string]V, len(objects))
	for _, o := range objects {
		m[nameOf(o)] = o
	}
	return m
}

// objectPlace matches places of findings about objects, such as
// `callers["valuations"].team`.
var objectPlace = regexp.MustCompile(`^([a-z]+\[".*?"\])(.*)$`)

// Locate returns the findings with the places of objects of this file replaced
// by file, line and key. Places of objects that are only in the configuration in
// force are unchanged.
func (f *File) Locate(l finding.List) finding.List {
	located := make(finding.List, len(l))
	for i, x := range l {
		located[i] = x
		if m := objectPlace.FindStringSubmatch(x.Place); m != nil && f.entries[m[1]] != "" {
			located[i].Place = f.fieldPlace(f.entries[m[1]], m[2])
		} else if strings.HasPrefix(x.Place, "delete.") {
			key, _, _ := strings.Cut(x.Place, "[")
			located[i].Place = f.source.Place(key)
		}
	}
	return located
}

// fieldPlace returns file, line and key of a field of an object. For the object
// as a whole and for a field that the file omits, the line is that of the name.
func (f *File) fieldPlace(entry, field string) string {
	field, _, _ = strings.Cut(field, "[")
	if field != "" && f.source.Has(entry+field) {
		return f.source.Place(entry + field)
	}
	at := f.source.Place(entry + ".name")
	return strings.TrimSuffix(at, ".name") + field
}
