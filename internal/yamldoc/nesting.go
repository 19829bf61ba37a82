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
func (s *nesting) add(t *token.Token) {
	if t.Position.Line != s.line {
		s.line, s.entries = t.Position.Line, 0
	}
	switch t.Type {
	case token.DocumentHeaderType:
		s.documents++
	case token.MappingStartType, token.SequenceStartType:
		s.levels = append(s.levels, level{})
	case token.MappingEndType, token.SequenceEndType:
		s.closeBracket()
	case token.SequenceEntryType:
		s.entries++
		s.closeIndentedPast(t.Position.Column)
	case token.MappingValueType:
		s.addKey(t)
	}
}

// addKey counts a key in its mapping and opens the mapping if this is its first key. colon is the token after
// the key.
func (s *nesting) addKey(colon *token.Token) {
	column := colon.Position.Column
	if colon.Prev != nil && colon.Prev.Position.Line == colon.Position.Line {
		column = colon.Prev.Position.Column
	}
	if !s.inBrackets() {
		s.closeIndentedPast(column)
		if len(s.levels) == 0 || s.innermost().column < column {
			s.levels = append(s.levels, level{column: column})
		}
	}
	s.innermost().keys++
}

// innermost returns the innermost open level.
func (s *nesting) innermost() *level {
	return &s.levels[len(s.levels)-1]
}

func (s *nesting) inBrackets() bool {
	return len(s.levels) > 0 && s.innermost().column == 0
}

// closeBracket closes the innermost bracket or brace.
func (s *nesting) closeBracket() {
	if s.inBrackets() {
		s.levels = s.levels[:len(s.levels)-1]
	}
}

// closeIndentedPast closes the mappings whose keys are to the right of a column.
func (s *nesting) closeIndentedPast(column int) {
	for len(s.levels) > 0 && s.innermost().column > column {
		s.levels = s.levels[:len(s.levels)-1]
	}
}

// depth returns the number of open mappings and lists.
func (s *nesting) depth() int {
	return len(s.levels) + s.entries
}

// keys returns the number of keys read so far in the innermost mapping.
func (s *nesting) keys() int {
	if len(s.levels) == 0 {
		return 0
	}
	return s.innermost().keys
}
