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

// MaxBytes is the maximum size of a document.
const MaxBytes = 1 << 20

// maxNesting is the maximum nesting depth of mappings and lists.
const maxNesting = 16

// maxFindings is the maximum number of findings kept for one document; further ones are only counted.
const maxFindings = 1000

// Document is the text of a YAML document and the name that findings give as its file.
type Document struct {
	Name string
	Data []byte
}

// reader holds the state of reading one document: its findings and its split lists.
type reader struct {
	file            string
	findings        Findings
	droppedFindings int                   // findings beyond maxFindings
	splitLists      map[string][]rawEntry // entries of the split lists, by top-level key
	lineOffset      int                   // number of lines before the text that is being parsed
}

// add reports an error at a line of the text that is being parsed.
func (r *reader) add(line int, key, format string, args ...any) {
	r.addAt(r.lineOffset+line, key, format, args...)
}

// addAt reports an error at a line of the document.
func (r *reader) addAt(line int, key, format string, args ...any) {
	if len(r.findings) >= maxFindings {
		r.droppedFindings++
		return
	}
	r.findings = append(r.findings, Finding{File: r.file, Line: line, Key: key, Message: fmt.Sprintf(format, args...)})
}

// Read parses a document, calls visit with its top-level mapping and returns all findings in the order of
// their lines. Keys that visit does not read are reported as unknown. If the document is not a YAML mapping,
// visit is not called.
func Read(d Document, visit func(m *Map)) Findings {
	r := &reader{file: d.Name}
	if root := r.parseDocument(d.Data); root != nil {
		m := r.newMap(root, &location{})
		visit(m)
		m.ReportUnknownKeys()
	}
	if r.droppedFindings > 0 {
		r.findings = append(r.findings, Finding{File: r.file, Line: 1, Message: fmt.Sprintf("%d more errors are not shown", r.droppedFindings)})
	}
	r.findings.Sort()
	return r.findings
}

// parseDocument parses a document without the entries of its split lists and returns its top-level mapping. If
// there is none, it reports an error and returns nil.
func (r *reader) parseDocument(data []byte) ast.Node {
	if len(data) > MaxBytes {
		r.add(1, "", "the document has %d bytes; at most %d are read", len(data), MaxBytes)
		return nil
	}
	if !utf8.Valid(data) {
		r.add(1, "", "the document is not UTF-8")
		return nil
	}
	s := split(string(data))
	r.splitLists = s.splitLists
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

// parse parses a text that holds one YAML document and returns its top-level node. If it cannot, it reports an
// error and returns nil. A panic of the parser is reported as an error as well.
func (r *reader) parse(text string) (root ast.Node) {
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
		r.addSyntaxError(err)
		return nil
	}
	return r.singleDocument(file)
}

// singleDocument returns the top-level node of a file, which must hold exactly one document.
func (r *reader) singleDocument(file *ast.File) ast.Node {
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		r.add(1, "", "the file must hold exactly one YAML document")
		return nil
	}
	return file.Docs[0].Body
}

// addSyntaxError reports an error of the parser at the line that it names, or at line 1.
func (r *reader) addSyntaxError(err error) {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil {
		r.add(1, "", "the document cannot be parsed as YAML: %v", err)
		return
	}
	r.add(located.GetToken().Position.Line, "", "the document cannot be parsed as YAML: %s", located.GetMessage())
}

// disallowedTokens maps the types of YAML tokens that documents must not contain to their names in errors.
var disallowedTokens = map[token.Type]string{
	token.AnchorType:     "an anchor",
	token.AliasType:      "an alias",
	token.TagType:        "a tag",
	token.MergeKeyType:   "a merge key",
	token.DirectiveType:  "a directive",
	token.MappingKeyType: "a complex key",
}

// checkTokens returns whether the tokens may be passed to the parser, and reports the first error otherwise.
// It rejects disallowed parts of YAML and a second document. It limits the nesting because the parser is
// recursive, and the keys of a mapping to maxKeys because the parser's time is quadratic in their number.
func (r *reader) checkTokens(tokens token.Tokens) bool {
	var n nesting
	for _, t := range tokens {
		if name, disallowed := disallowedTokens[t.Type]; disallowed {
			r.add(t.Position.Line, "", "%s (%q) is not allowed here", name, t.Value)
			return false
		}
		n.add(t)
		switch {
		case n.documents > 1:
			r.add(t.Position.Line, "", "the file must hold exactly one YAML document")
			return false
		case n.depth() > maxNesting:
			r.add(t.Position.Line, "", "values are nested deeper than %d levels", maxNesting)
			return false
		case n.keys() > maxKeys:
			r.add(t.Position.Line, "", "a mapping has more than %d keys", maxKeys)
			return false
		}
	}
	return true
}

// lineOf returns the line of a node, or 1 if the parser did not record it.
func lineOf(n ast.Node) int {
	t := n.GetToken()
	if t == nil || t.Position == nil {
		return 1
	}
	return t.Position.Line
}
