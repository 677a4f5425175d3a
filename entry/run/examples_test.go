package run

import (
	"path/filepath"
	"testing"
)

// Guards against example settings files that no longer pass the check.
func TestExampleSettings(t *testing.T) {
	for _, user := range []string{"guild", "chama-segura"} {
		files, err := filepath.Glob(filepath.Join("..", "..", "examples", user, "entry-*.toml"))
		if err != nil || len(files) != 6 {
			t.Fatalf("%s: %d settings files (%v), want 6", user, len(files), err)
		}
		for _, file := range files {
			if _, found := LoadSettings(file); len(found) > 0 {
				t.Errorf("%v", found)
			}
		}
	}
}
