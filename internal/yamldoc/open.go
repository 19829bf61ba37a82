package yamldoc

import (
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// MaxBytes bounds the size of one document.
const MaxBytes = 1 << 20

// maxNesting bounds how deep mappings and lists may lie in each other.
const maxNesting = 16

// maxFindings bounds the faults that are kept of one document.
const maxFindings = 1000

// Document is the text of a YAML document and the name that faults are reported under.
type Document struct {
	Name string
	Data []byte
}

// report collects the findings of one document.
type report struct {
	file     string
	findings Findings
	dropped  int
	lists    map[string][]chunk // the split lists under top keys
	above    int                // lines above the text that is being read
}

func (r *report) add(line int, key, format string, args ...any) {
	r.addAt(r.above+line, key, format, args...)
}

// addAt reports a fault at a line of the document.
func (r *report) addAt(line int, key, format string, args ...any) {
	if len(r.findings) >= maxFindings {
		r.dropped++
		return
	}
	r.findings = append(r.findings, Finding{File: r.file, Line: line, Key: key, Message: fmt.Sprintf(format, args...)})
}

// Read opens a document, hands its top mapping to visit and returns every fault in the order of the
// lines. Keys that visit does not ask for are faults. A document that is no YAML mapping is not visited.
func Read(d Document, visit func(m *Map)) Findings {
	r := &report{file: d.Name}
	if root := r.openDocument(d.Data); root != nil {
		m := r.mapping(root, &place{})
		visit(m)
		m.Done()
	}
	if r.dropped > 0 {
		r.findings = append(r.findings, Finding{File: r.file, Line: 1, Message: fmt.Sprintf("%d more faults are not shown", r.dropped)})
	}
	r.findings.Sort()
	return r.findings
}

// openDocument parses a document apart from the entries of its split lists and returns its top mapping,
// or nil after it reported why there is none.
func (r *report) openDocument(data []byte) ast.Node {
	if len(data) > MaxBytes {
		r.add(1, "", "the document has %d bytes; at most %d are read", len(data), MaxBytes)
		return nil
	}
	if !utf8.Valid(data) {
		r.add(1, "", "the document is not UTF-8")
		return nil
	}
	s := split(string(data))
	r.lists = s.lists
	body := r.parse(s.text)
	switch body.(type) {
	case nil:
		return nil
	case *ast.MappingNode, *ast.MappingValueNode:
		return body
	}
	r.add(lineOf(body), "", "the document must be a mapping of keys to values")
	return nil
}

// parse parses a text that holds one YAML document, and returns its top node, or nil after it reported
// why there is none.
func (r *report) parse(text string) (root ast.Node) {
	defer func() {
		if p := recover(); p != nil {
			r.add(1, "", "the document cannot be parsed as YAML: %v", p)
			root = nil
		}
	}()
	tokens := lexer.Tokenize(text)
	if !r.checkTokens(tokens) {
		return nil
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.addSyntax(err)
		return nil
	}
	return r.top(file)
}

// top returns the top node of a file that holds exactly one document.
func (r *report) top(file *ast.File) ast.Node {
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		r.add(1, "", "the file must hold exactly one YAML document")
		return nil
	}
	return file.Docs[0].Body
}

// addSyntax reports an error of the parser at the place that it names.
func (r *report) addSyntax(err error) {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil {
		r.add(1, "", "the document cannot be parsed as YAML: %v", err)
		return
	}
	r.add(located.GetToken().Position.Line, "", "the document cannot be parsed as YAML: %s", located.GetMessage())
}

// refused names the parts of YAML that published lists and settings may not use.
var refused = map[token.Type]string{
	token.AnchorType:     "an anchor",
	token.AliasType:      "an alias",
	token.TagType:        "a tag",
	token.MergeKeyType:   "a merge key",
	token.DirectiveType:  "a directive",
	token.MappingKeyType: "a complex key",
}

// checkTokens reports what a parser must not see: refused parts of YAML, a second document, nesting
// beyond the bound, which the parser follows by recursion, and mappings with more than maxKeys keys, on
// which it spends time that grows with the square of their number.
func (r *report) checkTokens(tokens token.Tokens) bool {
	var s shape
	for _, t := range tokens {
		if what, bad := refused[t.Type]; bad {
			r.add(t.Position.Line, "", "%s (%q) is not allowed here", what, t.Value)
			return false
		}
		s.add(t)
		switch {
		case s.documents > 1:
			r.add(t.Position.Line, "", "the file must hold exactly one YAML document")
			return false
		case s.depth() > maxNesting:
			r.add(t.Position.Line, "", "values are nested deeper than %d levels", maxNesting)
			return false
		case s.keys() > maxKeys:
			r.add(t.Position.Line, "", "a mapping has more than %d keys", maxKeys)
			return false
		}
	}
	return true
}

// lineOf returns the line of a node, or 1 where the parser kept none.
func lineOf(n ast.Node) int {
	t := n.GetToken()
	if t == nil || t.Position == nil {
		return 1
	}
	return t.Position.Line
}
