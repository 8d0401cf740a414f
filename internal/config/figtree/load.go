package figtree

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// extension is the file name extension of documents.
const extension = ".yaml"

// LoadDir builds the tree from the YAML files below dir, such as a checkout of the
// version-controlled declarations. Files that Parse rejects are skipped. It returns
// the tree of the remaining files and the faults of all files.
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
