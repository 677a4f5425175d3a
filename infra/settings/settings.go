// Package settings loads TOML files and reports every fault of a file at once,
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

// File knows the lines of the keys of a loaded file, so that later checks can
// name the place of a value.
type File struct {
	path    string
	entries []entry
}

// entry is one `key = value` of a file.
type entry struct {
	key  string
	line int
	// from and to delimit the bytes of the entry, with what follows it up to
	// the next one.
	from, to int
}

// Load reads the TOML file at path into the struct pointed to by into. Unknown
// keys, values of a wrong type and syntax errors are findings; after a syntax
// error nothing else is reported, because the rest of the file cannot be read.
func Load(path string, into any) (*File, finding.List) {
	var found finding.List
	data, err := os.ReadFile(path)
	if err != nil {
		found.Add(path, "the file cannot be read: %v", errors.Unwrap(err))
		return &File{path: path}, found
	}
	return Parse(path, data, into)
}

// Parse is Load for data that is already in memory; path only names the places.
func Parse(path string, data []byte, into any) (*File, finding.List) {
	var found finding.List
	f := &File{path: path}
	if err := f.scan(data); err != nil {
		line, message := f.syntax(data, err)
		found.Add(f.at(line, ""), "%s", message)
		return f, found
	}
	f.decode(bytes.Clone(data), into, &found)
	return f, found
}

// Place returns the place of key, for example "entry.toml:12: peer_secret". A
// key that the file does not have is placed in the file as a whole.
func (f *File) Place(key string) string {
	for _, e := range f.entries {
		if e.key == key {
			return f.at(e.line, key)
		}
	}
	return f.path + ": " + key
}

// Empty says whether no key of the file could be read.
func (f *File) Empty() bool { return len(f.entries) == 0 }

// Has says whether the file sets key.
func (f *File) Has(key string) bool {
	for _, e := range f.entries {
		if e.key == key {
			return true
		}
	}
	return false
}

func (f *File) at(line int, key string) string {
	if key == "" {
		return fmt.Sprintf("%s:%d", f.path, line)
	}
	return fmt.Sprintf("%s:%d: %s", f.path, line, key)
}

// decode decodes data until no fault is left. The decoder stops at the first
// value of a wrong type, so each faulty entry is blanked before the next try.
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
				found.Add(f.at(line, f.keyAt(line, e.Key())), "unknown key")
			}
			return
		}
		line, message := f.syntax(data, err)
		e, ok := f.entryAt(line)
		if !ok {
			found.Add(f.at(line, ""), "%s", message)
			return
		}
		found.Add(f.at(e.line, e.key), "%s", message)
		blank(data[e.from:e.to])
	}
}

func (f *File) keyAt(line int, key toml.Key) string {
	if e, ok := f.entryAt(line); ok {
		return e.key
	}
	return joinKey(key)
}

// entryAt returns the entry that covers a line.
func (f *File) entryAt(line int) (entry, bool) {
	for i := len(f.entries) - 1; i >= 0; i-- {
		if f.entries[i].line <= line {
			return f.entries[i], true
		}
	}
	return entry{}, false
}

// blank replaces everything but line ends by spaces, so that lines keep their
// numbers.
func blank(b []byte) {
	for i := range b {
		if b[i] != '\n' {
			b[i] = ' '
		}
	}
}
