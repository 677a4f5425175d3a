package settings

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// scan records the place of every entry of the file.
func (f *File) scan(data []byte) error {
	var p unstable.Parser
	p.Reset(data)
	prefix := ""
	tables := map[string]int{}
	end := len(data)
	var last *entry
	closeLast := func(at int) {
		if last != nil {
			last.to = at
		}
		last = nil
	}
	for p.NextExpression() {
		node := p.Expression()
		if node.Kind == unstable.Comment {
			continue
		}
		key, from := nodeKey(&p, node)
		closeLast(lineStart(data, from))
		switch node.Kind {
		case unstable.Table:
			prefix = key + "."
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d].", key, tables[key])
			tables[key]++
		case unstable.KeyValue:
			line := 1 + bytes.Count(data[:from], []byte{'\n'})
			f.entries = append(f.entries, entry{key: prefix + key, line: line, from: from, to: end})
			last = &f.entries[len(f.entries)-1]
		}
	}
	return p.Error()
}

// nodeKey returns the dotted key of a node and the offset of its first byte.
func nodeKey(p *unstable.Parser, node *unstable.Node) (string, int) {
	var parts []string
	from := -1
	for it := node.Key(); it.Next(); {
		part := it.Node()
		if from < 0 {
			from = int(part.Raw.Offset)
			if part.Raw.Length == 0 {
				from = int(p.Range(part.Data).Offset)
			}
		}
		parts = append(parts, string(part.Data))
	}
	return strings.Join(parts, "."), from
}

// lineStart returns the offset of the line that at lies in.
func lineStart(data []byte, at int) int {
	return 1 + bytes.LastIndexByte(data[:at], '\n')
}

// syntax returns the line and the message of a decoder error.
func (f *File) syntax(data []byte, err error) (line int, message string) {
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ = decode.Position()
		return line, strings.TrimPrefix(decode.Error(), "toml: ")
	}
	var parse *unstable.ParserError
	if errors.As(err, &parse) {
		// The parser gives the faulty bytes but not their line; the decoder
		// finds the same fault with its position.
		var ignored map[string]any
		if again := toml.Unmarshal(data, &ignored); errors.As(again, &decode) {
			line, _ = decode.Position()
		}
		return line, parse.Message
	}
	return 1, err.Error()
}

func joinKey(key toml.Key) string {
	return strings.Join(key, ".")
}
