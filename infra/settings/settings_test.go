package settings_test

import (
	"fmt"
	"testing"

	"marigoldfront.dev/infra/settings"
)

type config struct {
	Name  string   `toml:"name"`
	Store []string `toml:"store"`
	Limit int      `toml:"limit"`
	Pool  struct {
		Size int `toml:"size"`
	} `toml:"pool"`
	Rack []struct {
		Size int `toml:"size"`
	} `toml:"rack"`
}

// All errors of a file are reported at once, each with its line and key.
func ExampleParse() {
	const text = `name = 7
# a comment
store = [
  "127.0.0.1:1",
  2,
]
colour = "red"
limit = "many"

[pool]
size = false

[[rack]]
size = 1

[[rack]]
size = "x"
depth = 3
`
	var c config
	_, found := settings.Parse("entry.toml", []byte(text), &c)
	for _, f := range found {
		fmt.Println(f.Place)
	}
	// Output:
	// entry.toml:1: name
	// entry.toml:3: store
	// entry.toml:8: limit
	// entry.toml:11: pool.size
	// entry.toml:17: rack[1].size
	// entry.toml:7: colour
	// entry.toml:18: rack[1].depth
}

// Guards against a syntax error that is reported without its line, and against
// a wrong place of a key that the file sets or does not set.
func TestPlaces(t *testing.T) {
	var c config
	_, found := settings.Parse("a.toml", []byte("name = \"x\"\nstore = [\n"), &c)
	if len(found) != 1 || found[0].Place == "a.toml:0" {
		t.Errorf("findings of a syntax error: %v", found)
	}
	f, found := settings.Parse("a.toml", []byte("\nname = \"x\"\n"), &c)
	if len(found) != 0 || f.Place("name") != "a.toml:2: name" || f.Place("limit") != "a.toml: limit" {
		t.Errorf("places: %v %q %q", found, f.Place("name"), f.Place("limit"))
	}
	if _, found = settings.Load("no-such-file.toml", &c); len(found) != 1 {
		t.Errorf("findings of a missing file: %v", found)
	}
}
