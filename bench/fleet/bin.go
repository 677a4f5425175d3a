package fleet

import (
	"os"
	"path/filepath"
)

// BinDir returns the directory of the built programs: the given one, or that
// of the running program.
func BinDir(given string) (string, error) {
	if given != "" {
		return given, nil
	}
	exe, err := os.Executable()
	return filepath.Dir(exe), err
}
