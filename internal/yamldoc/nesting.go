package yamldoc

import "github.com/goccy/go-yaml/token"

// maxKeys is the maximum number of keys in one mapping.
const maxKeys = 64

// level is one open mapping or bracketed list.
type level struct {
	column int // column of its keys; 0 inside brackets or braces
	keys   int
}

// nesting tracks the nesting depth and the number of keys in a token stream, without recursion.
type nesting struct {
	levels    []level
	entries   int // block list entries that start in the current line
	line      int
	documents int
}

// add processes the next token.
func (n *nesting) add(t *token.Token) {
	if t.Position.Line != n.line {
		n.line, n.entries = t.Position.Line, 0
	}
	switch t.Type {
	case token.DocumentHeaderType:
		n.documents++
	case token.MappingStartType, token.SequenceStartType:
		n.levels = append(n.levels, level{})
	case token.MappingEndType, token.SequenceEndType:
		n.closeBracket()
	case token.SequenceEntryType:
		n.entries++
		n.closeIndentedPast(t.Position.Column)
	case token.MappingValueType:
		n.addKey(t)
	}
}

// addKey counts a key in its mapping and opens the mapping if this is its first key. colon is the token after
// the key.
func (n *nesting) addKey(colon *token.Token) {
	column := colon.Position.Column
	if colon.Prev != nil && colon.Prev.Position.Line == colon.Position.Line {
		column = colon.Prev.Position.Column
	}
	if !n.inBrackets() {
		n.closeIndentedPast(column)
		if len(n.levels) == 0 || n.innermost().column < column {
			n.levels = append(n.levels, level{column: column})
		}
	}
	n.innermost().keys++
}

// innermost returns the innermost open level.
func (n *nesting) innermost() *level {
	return &n.levels[len(n.levels)-1]
}

func (n *nesting) inBrackets() bool {
	return len(n.levels) > 0 && n.innermost().column == 0
}

// closeBracket closes the innermost bracket or brace.
func (n *nesting) closeBracket() {
	if n.inBrackets() {
		n.levels = n.levels[:len(n.levels)-1]
	}
}

// closeIndentedPast closes the mappings whose keys are to the right of a column.
func (n *nesting) closeIndentedPast(column int) {
	for len(n.levels) > 0 && n.innermost().column > column {
		n.levels = n.levels[:len(n.levels)-1]
	}
}

// depth returns the number of open mappings and lists.
func (n *nesting) depth() int {
	return len(n.levels) + n.entries
}

// keys returns the number of keys read so far in the innermost mapping.
func (n *nesting) keys() int {
	if len(n.levels) == 0 {
		return 0
	}
	return n.innermost().keys
}
