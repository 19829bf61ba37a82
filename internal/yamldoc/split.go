package yamldoc

import (
	"strings"
)

// If the lists under the top-level keys of a document are in block style, they are split into entries, and
// each entry is parsed separately. Reading then needs the memory for only one parsed entry, and a reader can
// skip entries whose text it has read before. Because the split does not parse the text, a quoted text must
// not contain a line that starts like an entry of its list.

// rawEntry is the text of one entry of a split list.
type rawEntry struct {
	text string
	line int // line of the document in which the entry starts
}

// skeleton is a document whose split lists were replaced by blank lines, and the entries of these lists.
type skeleton struct {
	text       string
	splitLists map[string][]rawEntry // by top-level key
}

// split moves the entries out of the block lists under the top-level keys of a document. The skeleton has as
// many lines as the document. A document with a carriage return that does not end a line is not split.
func split(text string) skeleton {
	s := skeleton{splitLists: make(map[string][]rawEntry)}
	if strings.Contains(strings.ReplaceAll(text, "\r\n", "\n"), "\r") {
		s.text = text
		return s
	}
	var remainder strings.Builder
	sp := splitter{skeleton: &s, remainder: &remainder}
	line := 0
	for start := 0; start < len(text); {
		end := start + firstLineLength(text[start:])
		line++
		sp.add(text, start, end, line)
		start = end
	}
	sp.closeEntry(len(text), text)
	s.text = remainder.String()
	return s
}

// firstLineLength returns the length of the first line of s, including its newline.
func firstLineLength(s string) int {
	if i := strings.IndexByte(s, '\n'); i >= 0 {
		return i + 1
	}
	return len(s)
}

// splitter processes the lines of a document in order.
type splitter struct {
	skeleton  *skeleton
	remainder *strings.Builder
	// key is the top-level key whose list may follow, or "". entryPrefix is the indentation and the dash that
	// its entries start with, or "" before the first entry.
	key         string
	entryPrefix string
	// start and line are the offset and the line of the current entry. They are valid only if open is true.
	start int
	line  int
	open  bool
}

// add processes a line of the document, from offset start to offset end.
func (sp *splitter) add(text string, start, end, line int) {
	lineText := text[start:end]
	switch {
	case startsEntry(lineText, sp.entryPrefix, sp.key):
		sp.closeEntry(start, text)
		sp.entryPrefix = prefixOf(lineText)
		sp.start, sp.line, sp.open = start, line, true
	case isTopLevel(lineText):
		sp.closeEntry(start, text)
		sp.key, sp.entryPrefix = listKey(lineText), ""
		if _, duplicate := sp.skeleton.splitLists[sp.key]; duplicate {
			sp.key = ""
		}
		sp.remainder.WriteString(lineText)
		return
	case !sp.open:
		sp.clearKeyUnlessList(lineText)
		sp.remainder.WriteString(lineText)
		return
	}
	sp.remainder.WriteByte('\n')
}

// clearKeyUnlessList clears the key if the line shows that its value is not a block list.
func (sp *splitter) clearKeyUnlessList(lineText string) {
	if trimmed := strings.TrimSpace(lineText); trimmed != "" && trimmed[0] != '#' {
		sp.key = ""
	}
}

// closeEntry stores the current entry, if any, which ends before an offset.
func (sp *splitter) closeEntry(end int, text string) {
	if sp.open {
		sp.skeleton.splitLists[sp.key] = append(sp.skeleton.splitLists[sp.key], rawEntry{text: text[sp.start:end], line: sp.line})
	}
	sp.open = false
}

// isTopLevel reports whether a line has content at the top level: it is not indented, blank or a comment.
func isTopLevel(line string) bool {
	trimmed := strings.TrimRight(line, "\r\n")
	return trimmed != "" && trimmed[0] != ' ' && trimmed[0] != '\t' && trimmed[0] != '#'
}

// listKey returns the key of a top-level line that has no value in the same line, or "".
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

// prefixOf returns the indentation and the dash of a line that starts a list entry, or "".
func prefixOf(line string) string {
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
func startsEntry(line, entryPrefix, key string) bool {
	if key == "" {
		return false
	}
	prefix := prefixOf(line)
	return prefix != "" && (entryPrefix == "" || prefix == entryPrefix)
}
