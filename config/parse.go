package config

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// MaxFileBytes is the maximum size of a settings file or a questionnaire.
const MaxFileBytes = 32 << 20

// parse decodes TOML and validates the result with check. Unknown keys are
// findings too. Every finding carries the file name and its line.
func parse[T any](file string, b []byte, check func(*T, *Findings)) (T, error) {
	var v T
	if len(b) > MaxFileBytes {
		return v, Findings{{File: file, Line: 1, Path: "file", Message: fmt.Sprintf("the file has %d bytes, the maximum is %d", len(b), MaxFileBytes)}}
	}
	err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(&v)
	found, fatal := syntaxFindings(file, err)
	if fatal {
		return v, found
	}
	var contentFindings Findings
	check(&v, &contentFindings)
	lines := indexLines(b)
	for _, f := range contentFindings {
		f.File = file
		f.Line = lines.line(f.Path)
		found = append(found, f)
	}
	return v, found.errorOrNil()
}

// syntaxFindings converts an error of the TOML library into findings. If fatal
// is set, decoding failed and the content cannot be validated.
func syntaxFindings(file string, err error) (found Findings, fatal bool) {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		for _, e := range unknown.Errors {
			row, _ := e.Position()
			found = append(found, Finding{File: file, Line: row, Path: strings.Join(e.Key(), "."), Message: "unknown setting"})
		}
		return found, false
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		row, _ := decodeErr.Position()
		path := strings.Join(decodeErr.Key(), ".")
		if path == "" {
			path = "file"
		}
		return Findings{{File: file, Line: row, Path: path, Message: strings.TrimPrefix(decodeErr.Error(), "toml: ")}}, true
	}
	if err != nil {
		return Findings{{File: file, Line: 1, Path: "file", Message: err.Error()}}, true
	}
	return nil, false
}

// lineIndex maps the path of an item to its line. Items of arrays of tables are
// numbered from 0, as in "account.0.rate".
type lineIndex map[string]int

// line returns the line of path or, if the file has no such item, of the
// innermost item that contains it. It defaults to 1.
func (lines lineIndex) line(path string) int {
	for path != "" {
		if line, ok := lines[path]; ok {
			return line
		}
		i := strings.LastIndexByte(path, '.')
		if i < 0 {
			break
		}
		path = path[:i]
	}
	return 1
}

func indexLines(b []byte) lineIndex {
	lines := lineIndex{}
	lengths := arrayLengths{}
	prefix := ""
	var parser unstable.Parser
	parser.Reset(b)
	for parser.NextExpression() {
		e := parser.Expression()
		parts, line := parseKey(&parser, e)
		switch e.Kind {
		case unstable.ArrayTable:
			prefix = lengths.appendTable(parts)
			lines[prefix] = line
		case unstable.Table:
			prefix = lengths.tablePath(parts)
			lines[prefix] = line
		case unstable.KeyValue:
			lines[strings.TrimPrefix(prefix+"."+strings.Join(parts, "."), ".")] = line
		}
	}
	return lines
}

// arrayLengths maps the path of an array of tables to the number of its items
// parsed so far.
type arrayLengths map[string]int

// tablePath returns the path of a table. Every array of tables that contains it
// is followed by the index of its most recent item.
func (a arrayLengths) tablePath(parts []string) string {
	path := ""
	for _, part := range parts {
		path = strings.TrimPrefix(path+"."+part, ".")
		if n, ok := a[path]; ok {
			path = fmt.Sprintf("%s.%d", path, n-1)
		}
	}
	return path
}

// appendTable adds an item to an array of tables and returns the item's path.
func (a arrayLengths) appendTable(parts []string) string {
	last := len(parts) - 1
	path := strings.TrimPrefix(a.tablePath(parts[:last])+"."+parts[last], ".")
	a[path]++
	return fmt.Sprintf("%s.%d", path, a[path]-1)
}

// parseKey returns the parts of an expression's key and the line of the key.
func parseKey(parser *unstable.Parser, e *unstable.Node) (parts []string, line int) {
	line = 1
	for it := e.Key(); it.Next(); {
		node := it.Node()
		if len(parts) == 0 {
			line = parser.Shape(node.Raw).Start.Line
		}
		parts = append(parts, string(node.Data))
	}
	return parts, line
}
