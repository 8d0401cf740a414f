package figtree

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// extension ends the names of the files that hold documents.
const extension = ".yaml"

// LoadDir builds the tree of the files below dir, which is how declarations are
// kept in version control. A file with a fault of its own is left out; the tree
// of the others is returned with all faults.
func LoadDir(dir string) (*Tree, []Fault) {
	b, faults := load(dir)
	t := b.Build()
	return t, sortFaults(append(faults, b.Faults()...))
}

func load(dir string) (*Builder, []Fault) {
	b := NewBuilder()
	var faults []Fault
	err := filepath.WalkDir(dir, func(name string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() || !strings.HasSuffix(name, extension) {
			return err
		}
		text, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(dir, name)
		if err != nil {
			return err
		}
		docPath := strings.TrimSuffix(filepath.ToSlash(rel), extension)
		d, wrong := Parse(docPath, text)
		faults = append(faults, wrong...)
		if d != nil {
			b.Put(d)
		}
		return nil
	})
	if err != nil {
		faults = append(faults, Fault{Path: dir, Reason: err.Error()})
	}
	return b, faults
}
