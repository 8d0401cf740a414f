package figtree

import (
	"fmt"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// Field is a declared value with its line number in the document.
type Field[T any] struct {
	// Value is the declared value, or zero if there is none.
	Value T
	// Line counts from one; zero means that the field is not declared.
	Line int32
}

// UnmarshalYAML decodes the node and records its line. An unquoted number
// in a string field keeps its literal text.
func (f *Field[T]) UnmarshalYAML(n ast.Node) error {
	f.Line = int32(n.GetToken().Position.Line)
	if text, ok := any(&f.Value).(*string); ok && isNumber(n) {
		*text = n.GetToken().Value
		return nil
	}
	return yaml.NodeToValue(n, &f.Value, yaml.Strict())
}

// isNumber reports whether YAML parses the node as a number, as it does with an
// unquoted salt that has only digits.
func isNumber(n ast.Node) bool {
	return n.Type() == ast.IntegerType || n.Type() == ast.FloatType
}

// Declared reports whether the document sets the field.
func (f Field[T]) Declared() bool { return f.Line > 0 }

// Fault is a validation error: the reason why a document, or a part of it, has no
// effect or is cut to a limit.
type Fault struct {
	// Path is the path of the document.
	Path string `json:"path"`
	// Line counts from one; it is zero if the fault cannot be assigned to one line.
	Line int `json:"line"`
	// Reason says what is wrong.
	Reason string `json:"reason"`
}

// String returns the fault as path, line and reason.
func (f Fault) String() string { return fmt.Sprintf("%s:%d: %s", f.Path, f.Line, f.Reason) }

// Document is one parsed document. It is immutable after Parse.
type Document struct {
	// Path is the file path without extension, relative to the root directory.
	Path string `yaml:"-"`
	// Dir is the directory part of Path; empty for the root.
	Dir string `yaml:"-"`
	// Limits apply to the directory of the document and everything below it.
	Limits *LimitsSpec `yaml:"limits"`
	// Subtrees holds limits that this document sets for directories below its own.
	Subtrees map[string]*LimitsSpec `yaml:"subtrees"`
	// DataCentres may be declared in the root directory only.
	DataCentres []DataCentreSpec `yaml:"dataCentres"`
	// Pools holds the pools of this directory.
	Pools []*PoolSpec `yaml:"pools"`
	// Routes holds plain routes.
	Routes []RouteSpec `yaml:"routes"`
	// Accounts holds the client accounts of this directory.
	Accounts []*AccountSpec `yaml:"accounts"`
}

// LimitsSpec holds declared limits.
type LimitsSpec struct {
	TokensPerSecond Field[int64]    `yaml:"tokensPerSecond"`
	Burst           Field[int64]    `yaml:"burst"`
	PromptLimit     Field[int64]    `yaml:"promptLimit"`
	OutputLimit     Field[int64]    `yaml:"outputLimit"`
	Priority        Field[int64]    `yaml:"priority"`
	Pools           Field[[]string] `yaml:"pools"`
	RoutePrefixes   Field[[]string] `yaml:"routePrefixes"`
	KeyPrefixes     Field[[]string] `yaml:"keyPrefixes"`
}

// DataCentreSpec declares a data centre.
type DataCentreSpec struct {
	Name   Field[string] `yaml:"name"`
	Region Field[string] `yaml:"region"`
	Out    Field[bool]   `yaml:"out"`
}

// PoolSpec declares a pool.
type PoolSpec struct {
	Name          Field[string]        `yaml:"name"`
	Models        Field[[]string]      `yaml:"models"`
	PieceTokens   Field[int64]         `yaml:"pieceTokens"`
	PromptLimit   Field[int64]         `yaml:"promptLimit"`
	OutputLimit   Field[int64]         `yaml:"outputLimit"`
	FirstToken    Field[time.Duration] `yaml:"firstToken"`
	BetweenTokens Field[time.Duration] `yaml:"betweenTokens"`
	ResultLife    Field[time.Duration] `yaml:"resultLife"`
	StallLimit    Field[time.Duration] `yaml:"stallLimit"`
	Timeout       Field[time.Duration] `yaml:"timeout"`
	QueueRequests Field[int64]         `yaml:"queueRequests"`
	ChecksFence   Field[bool]          `yaml:"checksFence"`
	Resume        Field[bool]          `yaml:"resume"`
	CallCost      Field[int64]         `yaml:"callCost"`
}

// RouteSpec declares a plain route.
type RouteSpec struct {
	Prefix     Field[string]   `yaml:"prefix"`
	Pool       Field[string]   `yaml:"pool"`
	Methods    Field[[]string] `yaml:"methods"`
	Idempotent Field[bool]     `yaml:"idempotent"`
	Open       Field[bool]     `yaml:"open"`
}

// AccountSpec declares a client account.
type AccountSpec struct {
	Name            Field[string]   `yaml:"name"`
	Class           Field[string]   `yaml:"class"`
	TokensPerSecond Field[int64]    `yaml:"tokensPerSecond"`
	Burst           Field[int64]    `yaml:"burst"`
	Weight          Field[int64]    `yaml:"weight"`
	Priority        Field[int64]    `yaml:"priority"`
	PromptLimit     Field[int64]    `yaml:"promptLimit"`
	OutputLimit     Field[int64]    `yaml:"outputLimit"`
	Pools           Field[[]string] `yaml:"pools"`
	Keys            []*KeySpec      `yaml:"keys"`

	doc *Document
	id  string
}

// KeySpec declares a key of a client account; salt and hash are in hexadecimal.
type KeySpec struct {
	ID        Field[string] `yaml:"id"`
	Salt      Field[string] `yaml:"salt"`
	Hash      Field[string] `yaml:"hash"`
	Withdrawn Field[bool]   `yaml:"withdrawn"`

	account    *AccountSpec
	salt, hash []byte
}
