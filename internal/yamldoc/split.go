package yamldoc

import (
	"strings"
)

// A document whose top lists are in block style is read entry by entry, so that the memory of reading
// is that of one entry, and so that a reader can skip entries whose text it has read before. Each entry
// is parsed by itself; a quoted text must therefore not hold a line that starts like an entry of its
// list.

// chunk is the text of one entry of a split list.
type chunk struct {
	text string
	line int // of its first line in the document
}

// skeleton is a document without the entries of its split lists.
type skeleton struct {
	text  string
	lists map[string][]chunk // by top key
}

// split takes the entries out of the block lists under the top keys of a document. The skeleton keeps
// the number of lines.
func split(text string) skeleton {
	s := skeleton{lists: make(map[string][]chunk)}
	if strings.Contains(strings.ReplaceAll(text, "\r\n", "\n"), "\r") {
		s.text = text
		return s
	}
	var rest strings.Builder
	sp := splitter{skeleton: &s, rest: &rest}
	line := 0
	for start := 0; start < len(text); {
		end := start + lineLength(text[start:])
		line++
		sp.add(text, start, end, line)
		start = end
	}
	sp.closeEntry(len(text), text)
	s.text = rest.String()
	return s
}

func lineLength(s string) int {
	if i := strings.IndexByte(s, '\n'); i >= 0 {
		return i + 1
	}
	return len(s)
}

// splitter walks over the lines of a document.
type splitter struct {
	skeleton *skeleton
	rest     *strings.Builder
	// key is the top key whose list may follow, "" for none; mark is what its entries start with, "" before
	// the first one.
	key  string
	mark string
	// start and line are those of the open entry; start is -1 for none.
	start int
	line  int
	open  bool
}

func (sp *splitter) add(text string, start, end, line int) {
	current := text[start:end]
	switch {
	case startsEntry(current, sp.mark, sp.key):
		sp.closeEntry(start, text)
		sp.mark = entryMark(current)
		sp.start, sp.line, sp.open = start, line, true
	case isTop(current):
		sp.closeEntry(start, text)
		sp.key, sp.mark = listKey(current), ""
		if _, twice := sp.skeleton.lists[sp.key]; twice {
			sp.key = ""
		}
		sp.rest.WriteString(current)
		return
	case !sp.open:
		sp.skipTo(current)
		sp.rest.WriteString(current)
		return
	}
	sp.rest.WriteByte('\n')
}

// skipTo gives up on a key whose value is not a block list.
func (sp *splitter) skipTo(current string) {
	if trimmed := strings.TrimSpace(current); trimmed != "" && trimmed[0] != '#' {
		sp.key = ""
	}
}

// closeEntry keeps the open entry, which ends before an offset.
func (sp *splitter) closeEntry(end int, text string) {
	if sp.open {
		sp.skeleton.lists[sp.key] = append(sp.skeleton.lists[sp.key], chunk{text: text[sp.start:end], line: sp.line})
	}
	sp.open = false
}

// isTop reports whether a line holds something at the left edge that is neither blank nor a comment.
func isTop(line string) bool {
	trimmed := strings.TrimRight(line, "\r\n")
	return trimmed != "" && trimmed[0] != ' ' && trimmed[0] != '\t' && trimmed[0] != '#'
}

// listKey returns the key of a line that has no value of its own, or "".
func listKey(line string) string {
	if i := strings.Index(line, " #"); i >= 0 {
		line = line[:i]
	}
	key, found := strings.CutSuffix(strings.TrimRight(line, " \t\r\n"), ":")
	if !found || !ValidName(key) {
		return ""
	}
	return key
}

// entryMark returns the leading spaces and the dash of a line that starts an entry, or "".
func entryMark(line string) string {
	i := 0
	for i < len(line) && line[i] == ' ' {
		i++
	}
	if i+1 < len(line) && line[i] == '-' && line[i+1] == ' ' {
		return line[:i+1]
	}
	return ""
}

// startsEntry reports whether a line starts an entry of the list under the current key. All entries of
// a list have the same indentation.
func startsEntry(line, mark, key string) bool {
	if key == "" {
		return false
	}
	found := entryMark(line)
	return found != "" && (mark == "" || found == mark)
}
