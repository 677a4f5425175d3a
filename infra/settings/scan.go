package settings

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// indexEntries records the key, line and byte range of every entry of the file.
func (f *File) indexEntries(data []byte) error {
	var p unstable.Parser
	p.Reset(data)
	prefix := ""
	tables := map[string]int{}
	end := len(data)
	var last *entry
	closeLast := func(offset int) {
		if last != nil {
			last.end = offset
		}
		last = nil
	}
	for p.NextExpression() {
		node := p.Expression()
		if node.Kind == unstable.Comment {
			continue
		}
		key, start := nodeKey(&p, node)
		closeLast(lineStart(data, start))
		switch node.Kind {
		case unstable.Table:
			prefix = key + "."
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d].", key, tables[key])
			tables[key]++
		case unstable.KeyValue:
			line := 1 + bytes.Count(data[:start], []byte{'\n'})
			f.entries = append(f.entries, entry{key: prefix + key, line: line, start: start, end: end})
			last = &f.entries[len(f.entries)-1]
		}
	}
	return p.Error()
}

// nodeKey returns the dotted key of a node and the offset of its first byte.
func nodeKey(p *unstable.Parser, node *unstable.Node) (string, int) {
	var parts []string
	start := -1
	for it := node.Key(); it.Next(); {
		part := it.Node()
		if start < 0 {
			start = int(part.Raw.Offset)
			if part.Raw.Length == 0 {
				start = int(p.Range(part.Data).Offset)
			}
		}
		parts = append(parts, string(part.Data))
	}
	return strings.Join(parts, "."), start
}

// lineStart returns the offset of the first byte of the line that contains
// offset.
func lineStart(data []byte, offset int) int {
	return 1 + bytes.LastIndexByte(data[:offset], '\n')
}

// describeError returns the line and the message of an error of the parser or
// decoder. It returns line 1 for other errors.
func (f *File) describeError(data []byte, err error) (line int, message string) {
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ = decodeErr.Position()
		return line, strings.TrimPrefix(decodeErr.Error(), "toml: ")
	}
	var parseErr *unstable.ParserError
	if errors.As(err, &parseErr) {
		// The parser's error holds the invalid bytes but not their line. The
		// decoder reports the same error with its position.
		var ignored map[string]any
		if secondErr := toml.Unmarshal(data, &ignored); errors.As(secondErr, &decodeErr) {
			line, _ = decodeErr.Position()
		}
		return line, parseErr.Message
	}
	return 1, err.Error()
}

func joinKey(key toml.Key) string {
	return strings.Join(key, ".")
}
