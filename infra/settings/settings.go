// Package settings loads TOML files and reports all errors of a file at once,
// each with its file, line and key.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"

	"marigoldfront.dev/core/finding"
)

// File holds the line numbers of the keys of a loaded file, so that later
// validation can report the place of a value.
type File struct {
	path    string
	entries []entry
}

// entry is a key-value pair of a file.
type entry struct {
	key  string
	line int
	// start (inclusive) and end (exclusive) are byte offsets. The range covers
	// the entry and everything after it up to the next entry or table.
	start, end int
}

// Load decodes the TOML file at path into the struct that into points to. It
// returns a finding for a file that cannot be read, for each unknown key, for
// each value of a wrong type and for a syntax error. A syntax error is the only
// finding, because the rest of the file cannot be parsed.
func Load(path string, into any) (*File, finding.List) {
	var found finding.List
	data, err := os.ReadFile(path)
	if err != nil {
		found.Add(path, "the file cannot be read: %v", errors.Unwrap(err))
		return &File{path: path}, found
	}
	return Parse(path, data, into)
}

// Parse is like Load, but decodes data. It uses path only in the places of the
// findings.
func Parse(path string, data []byte, into any) (*File, finding.List) {
	var found finding.List
	f := &File{path: path}
	if err := f.indexEntries(data); err != nil {
		line, message := f.describeError(data, err)
		found.Add(f.formatPlace(line, ""), "%s", message)
		return f, found
	}
	f.decode(bytes.Clone(data), into, &found)
	return f, found
}

// Place returns the place of key, for example "entry.toml:12: peer_secret". For
// a key that the file does not set, the place has no line number.
func (f *File) Place(key string) string {
	for _, e := range f.entries {
		if e.key == key {
			return f.formatPlace(e.line, key)
		}
	}
	return f.path + ": " + key
}

// Empty reports whether the file has no entries, or none could be parsed.
func (f *File) Empty() bool { return len(f.entries) == 0 }

// Has reports whether the file sets key.
func (f *File) Has(key string) bool {
	for _, e := range f.entries {
		if e.key == key {
			return true
		}
	}
	return false
}

func (f *File) formatPlace(line int, key string) string {
	if key == "" {
		return fmt.Sprintf("%s:%d", f.path, line)
	}
	return fmt.Sprintf("%s:%d: %s", f.path, line, key)
}

// decode decodes data repeatedly until no error is left. The decoder stops at
// the first value of a wrong type, so decode blanks each invalid entry before
// it decodes again.
func (f *File) decode(data []byte, into any, found *finding.List) {
	for range len(f.entries) + 1 {
		dec := toml.NewDecoder(bytes.NewReader(data))
		dec.DisallowUnknownFields()
		err := dec.Decode(into)
		if err == nil {
			return
		}
		var missing *toml.StrictMissingError
		if errors.As(err, &missing) {
			for _, e := range missing.Errors {
				line, _ := e.Position()
				found.Add(f.formatPlace(line, f.keyAt(line, e.Key())), "unknown key")
			}
			return
		}
		line, message := f.describeError(data, err)
		e, ok := f.entryAt(line)
		if !ok {
			found.Add(f.formatPlace(line, ""), "%s", message)
			return
		}
		found.Add(f.formatPlace(e.line, e.key), "%s", message)
		blank(data[e.start:e.end])
	}
}

func (f *File) keyAt(line int, key toml.Key) string {
	if e, ok := f.entryAt(line); ok {
		return e.key
	}
	return joinKey(key)
}

// entryAt returns the last entry that starts at or before line.
func (f *File) entryAt(line int) (entry, bool) {
	for i := len(f.entries) - 1; i >= 0; i-- {
		if f.entries[i].line <= line {
			return f.entries[i], true
		}
	}
	return entry{}, false
}

// blank replaces all bytes except line feeds by spaces, so that line numbers do
// not change.
func blank(b []byte) {
	for i := range b {
		if b[i] != '\n' {
			b[i] = ' '
		}
	}
}
