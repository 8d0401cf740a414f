package figtree

import (
	"crypto/sha256"
	"encoding/hex"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

const (
	// minSaltBytes is the minimum length of a key's salt.
	minSaltBytes = 8
	// maxFaults bounds the faults that Parse reports for one document.
	maxFaults = 50
)

// Parse decodes and validates one document. If it returns faults, the document is
// nil, so no part of an invalid document takes effect. Checks that need other
// documents, such as limits and grants, are made by Builder.
func Parse(docPath string, text []byte) (*Document, []Fault) {
	if line, reason := checkShape(text); reason != "" {
		return nil, []Fault{{Path: docPath, Line: line, Reason: reason}}
	}
	d := &Document{}
	if err := decode(text, d); err != nil {
		return nil, []Fault{yamlFault(docPath, err)}
	}
	d.Path, d.Dir = docPath, dirOf(docPath)
	c := &checker{doc: d}
	c.document()
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	return d, nil
}

// decode decodes text strictly into d. It converts a panic of the YAML library to
// an error, so that a malformed document cannot crash an instance.
func decode(text []byte, d *Document) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("YAML decoder panicked: %v", r)
		}
	}()
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return err
	}
	docs := slices.DeleteFunc(file.Docs, func(n *ast.DocumentNode) bool { return n.Body == nil })
	switch len(docs) {
	case 0:
		return nil
	case 1:
		ast.Walk(listFiller{}, docs[0].Body)
		return yaml.NodeToValue(docs[0].Body, d, yaml.Strict())
	default:
		return errors.New("text has more than one document")
	}
}

// listFiller replaces fields without a value by empty lists if they hold a list that means something else where it is
// missing. The decoder takes them for missing.
type listFiller struct{}

var restrictingLists = map[string]bool{"pools": true, "routePrefixes": true, "keyPrefixes": true, "methods": true}

// Visit implements ast.Visitor.
func (f listFiller) Visit(n ast.Node) ast.Visitor {
	field, ok := n.(*ast.MappingValueNode)
	if ok && field.Value.Type() == ast.NullType && restrictingLists[field.Key.GetToken().Value] {
		field.Value = ast.Sequence(field.Key.GetToken(), true)
	}
	return f
}

func dirOf(docPath string) string {
	dir := path.Dir(docPath)
	if dir == "." {
		return ""
	}
	return dir
}

// qualifiedID returns the ID of an object called name that is declared in dir.
func qualifiedID(dir, name string) string {
	if dir == "" {
		return name
	}
	return dir + "/" + name
}

func yamlFault(docPath string, err error) Fault {
	f := Fault{Path: docPath, Reason: err.Error()}
	var y yaml.Error
	if errors.As(err, &y) {
		f.Reason = y.GetMessage()
		if t := y.GetToken(); t != nil {
			f.Line = t.Position.Line
		}
	}
	return f
}

// checker validates one document and collects its faults.
type checker struct {
	doc    *Document
	faults []Fault
}

func (c *checker) fault(line int32, reason string) {
	if len(c.faults) == maxFaults {
		return
	}
	c.faults = append(c.faults, Fault{Path: c.doc.Path, Line: int(line), Reason: reason})
}

func (c *checker) document() {
	d := c.doc
	if d.Limits != nil {
		c.limits(d.Limits)
	}
	for name, l := range d.Subtrees {
		if !validPath(name) {
			c.fault(0, "subtree "+name+" is not a path below this directory")
		}
		if l != nil {
			c.limits(l)
		}
	}
	if d.Dir != "" && len(d.DataCentres) > 0 {
		c.fault(d.DataCentres[0].Name.Line, "dataCentres belong to the root directory only")
	}
	c.dataCentres()
	c.pools()
	c.routes()
	c.accounts()
}

func validPath(p string) bool {
	for _, s := range strings.Split(p, "/") {
		if s == "" || s == "." || s == ".." {
			return false
		}
	}
	return true
}

// name checks a declared name, which must not be in seen, and adds it to seen.
func (c *checker) name(kind string, f Field[string], seen map[string]bool) {
	switch {
	case f.Value == "":
		c.fault(f.Line, kind+" has no name")
	case strings.ContainsAny(f.Value, "/ \t"):
		c.fault(f.Line, kind+" name "+f.Value+" has a slash or a blank")
	case seen[f.Value]:
		c.fault(f.Line, kind+" "+f.Value+" is declared twice")
	}
	seen[f.Value] = true
}

func (c *checker) atLeast(what string, least int64, f Field[int64]) {
	if f.Declared() && f.Value < least {
		c.fault(f.Line, what+" is too low")
	}
}

func (c *checker) positive(what string, f Field[time.Duration]) {
	if f.Declared() && f.Value <= 0 {
		c.fault(f.Line, what+" is not above zero")
	}
}

func (c *checker) limits(l *LimitsSpec) {
	c.atLeast("tokensPerSecond", 0, l.TokensPerSecond)
	c.atLeast("burst", 0, l.Burst)
	c.atLeast("promptLimit", 1, l.PromptLimit)
	c.atLeast("outputLimit", 1, l.OutputLimit)
	for _, p := range l.RoutePrefixes.Value {
		c.prefix(l.RoutePrefixes.Line, p)
	}
}

func (c *checker) prefix(line int32, p string) {
	if !strings.HasPrefix(p, "/") {
		c.fault(line, "route prefix "+p+" does not start with a slash")
	}
}

func (c *checker) dataCentres() {
	seen := map[string]bool{}
	for _, d := range c.doc.DataCentres {
		c.name("data centre", d.Name, seen)
	}
}

func (c *checker) pools() {
	seen := map[string]bool{}
	for _, p := range c.doc.Pools {
		if p == nil {
			c.fault(0, "a pool is empty")
			continue
		}
		c.name("pool", p.Name, seen)
		c.atLeast("pieceTokens", 1, p.PieceTokens)
		c.atLeast("promptLimit", 1, p.PromptLimit)
		c.atLeast("outputLimit", 1, p.OutputLimit)
		c.atLeast("queueRequests", 0, p.QueueRequests)
		c.atLeast("callCost", 0, p.CallCost)
		c.positive("firstToken", p.FirstToken)
		c.positive("betweenTokens", p.BetweenTokens)
		c.positive("resultLife", p.ResultLife)
		c.positive("stallLimit", p.StallLimit)
		c.positive("timeout", p.Timeout)
	}
}

func (c *checker) routes() {
	seen := map[string]bool{}
	for _, r := range c.doc.Routes {
		c.prefix(r.Prefix.Line, r.Prefix.Value)
		if seen[r.Prefix.Value] {
			c.fault(r.Prefix.Line, "route "+r.Prefix.Value+" is declared twice")
		}
		seen[r.Prefix.Value] = true
		if r.Pool.Value == "" {
			c.fault(r.Prefix.Line, "route "+r.Prefix.Value+" has no pool")
		}
	}
}

func (c *checker) accounts() {
	seen, keys := map[string]bool{}, map[string]bool{}
	for _, a := range c.doc.Accounts {
		if a == nil {
			c.fault(0, "an account is empty")
			continue
		}
		c.name("account", a.Name, seen)
		c.atLeast("tokensPerSecond", 0, a.TokensPerSecond)
		c.atLeast("burst", 0, a.Burst)
		c.atLeast("weight", 1, a.Weight)
		c.atLeast("promptLimit", 1, a.PromptLimit)
		c.atLeast("outputLimit", 1, a.OutputLimit)
		a.doc, a.id = c.doc, qualifiedID(c.doc.Dir, a.Name.Value)
		for _, k := range a.Keys {
			if k == nil {
				c.fault(a.Name.Line, "a key of account "+a.Name.Value+" is empty")
				continue
			}
			k.account = a
			c.key(k, keys)
		}
	}
}

func (c *checker) key(k *KeySpec, seen map[string]bool) {
	switch {
	case k.ID.Value == "":
		c.fault(k.Hash.Line, "key has no id")
	case strings.ContainsAny(k.ID.Value, "_/ \t"):
		c.fault(k.ID.Line, "key id has an underscore, a slash or a blank")
	case seen[k.ID.Value]:
		c.fault(k.ID.Line, "key "+k.ID.Value+" is declared twice")
	}
	seen[k.ID.Value] = true
	var err error
	if k.salt, err = hex.DecodeString(k.Salt.Value); err != nil || len(k.salt) < minSaltBytes {
		c.fault(max(k.Salt.Line, k.ID.Line), "salt of key "+k.ID.Value+" is not 8 or more bytes in hexadecimal")
	}
	if k.hash, err = hex.DecodeString(k.Hash.Value); err != nil || len(k.hash) != sha256.Size {
		c.fault(max(k.Hash.Line, k.ID.Line), "hash of key "+k.ID.Value+" is not 32 bytes in hexadecimal")
	}
}
