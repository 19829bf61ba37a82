package yamldoc

import "github.com/goccy/go-yaml/token"

// maxKeys bounds the keys of one mapping.
const maxKeys = 64

// level is one open mapping or list of a token stream.
type level struct {
	column int // of its keys or entries; 0 inside brackets
	keys   int
}

// shape follows the nesting of a token stream without recursion.
type shape struct {
	levels    []level
	entries   int // list entries that start in the current line
	line      int
	documents int
}

// add takes the next token.
func (s *shape) add(t *token.Token) {
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
		s.closeBeyond(t.Position.Column)
	case token.MappingValueType:
		s.addKey(t)
	}
}

// addKey counts a key in the mapping that it belongs to.
func (s *shape) addKey(colon *token.Token) {
	column := colon.Position.Column
	if colon.Prev != nil && colon.Prev.Position.Line == colon.Position.Line {
		column = colon.Prev.Position.Column
	}
	if !s.inBrackets() {
		s.closeBeyond(column)
		if len(s.levels) == 0 || s.top().column < column {
			s.levels = append(s.levels, level{column: column})
		}
	}
	s.top().keys++
}

func (s *shape) top() *level {
	return &s.levels[len(s.levels)-1]
}

func (s *shape) inBrackets() bool {
	return len(s.levels) > 0 && s.top().column == 0
}

// closeBracket ends the innermost bracket.
func (s *shape) closeBracket() {
	if s.inBrackets() {
		s.levels = s.levels[:len(s.levels)-1]
	}
}

// closeBeyond ends the mappings that lie to the right of a column.
func (s *shape) closeBeyond(column int) {
	for len(s.levels) > 0 && s.top().column > column {
		s.levels = s.levels[:len(s.levels)-1]
	}
}

// depth returns how many mappings and lists are open.
func (s *shape) depth() int {
	return len(s.levels) + s.entries
}

// keys returns the number of keys so far of the innermost mapping.
func (s *shape) keys() int {
	if len(s.levels) == 0 {
		return 0
	}
	return s.top().keys
}
