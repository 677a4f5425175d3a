package fleet

import (
	"os"
	"path/filepath"
)

// BinDir returns the directory of the built programs: override, or if that is
// empty the directory of the running program.
func BinDir(override string) (string, error) {
	if override != "" {
		return override, nil
	}
	exe, err := os.Executable()
	return filepath.Dir(exe), err
}
