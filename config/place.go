package config

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// MaxFileBytes bounds a settings file or a questionnaire.
const MaxFileBytes = 32 << 20

// parse reads TOML strictly into v and then asks check for the faults of the
// content. All findings carry the file's name and their line.
func parse[T any](file string, b []byte, check func(*T, *Findings)) (T, error) {
	var v T
	if len(b) > MaxFileBytes {
		return v, Findings{{File: file, Line: 1, Path: "file", Message: fmt.Sprintf("%d bytes are more than %d", len(b), MaxFileBytes)}}
	}
	err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(&v)
	found, fatal := syntaxFindings(file, err)
	if fatal {
		return v, found
	}
	var content Findings
	check(&v, &content)
	lines := lineIndex(b)
	for _, f := range content {
		f.File = file
		f.Line = lines.of(f.Path)
		found = append(found, f)
	}
	return v, found.err()
}

// syntaxFindings turns an error of the TOML library into findings. The file's
// content is of no use if fatal is set.
func syntaxFindings(file string, err error) (found Findings, fatal bool) {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		for _, e := range missing.Errors {
			row, _ := e.Position()
			found = append(found, Finding{File: file, Line: row, Path: strings.Join(e.Key(), "."), Message: "there is no such setting"})
		}
		return found, false
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		row, _ := bad.Position()
		path := strings.Join(bad.Key(), ".")
		if path == "" {
			path = "file"
		}
		return Findings{{File: file, Line: row, Path: path, Message: strings.TrimPrefix(bad.Error(), "toml: ")}}, true
	}
	if err != nil {
		return Findings{{File: file, Line: 1, Path: "file", Message: err.Error()}}, true
	}
	return nil, false
}

// places maps the path of an item to the line it stands on. Items of arrays of
// tables are numbered from 0, as in "account.0.rate".
type places map[string]int

// of returns the line of path or, if the item is missing, of the nearest item
// that contains it.
func (p places) of(path string) int {
	for path != "" {
		if line, ok := p[path]; ok {
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

func lineIndex(b []byte) places {
	lines := places{}
	counts := tableCounts{}
	prefix := ""
	var parser unstable.Parser
	parser.Reset(b)
	for parser.NextExpression() {
		e := parser.Expression()
		parts, line := keyOf(&parser, e)
		switch e.Kind {
		case unstable.ArrayTable:
			prefix = counts.enter(parts)
			lines[prefix] = line
		case unstable.Table:
			prefix = counts.within(parts)
			lines[prefix] = line
		case unstable.KeyValue:
			lines[strings.TrimPrefix(prefix+"."+strings.Join(parts, "."), ".")] = line
		}
	}
	return lines
}

// tableCounts holds how many items each array of tables has so far, by its
// path.
type tableCounts map[string]int

// within returns the path of a table, which is part of the newest item of
// every array of tables on the way.
func (t tableCounts) within(parts []string) string {
	path := ""
	for _, part := range parts {
		path = strings.TrimPrefix(path+"."+part, ".")
		if n, ok := t[path]; ok {
			path = fmt.Sprintf("%s.%d", path, n-1)
		}
	}
	return path
}

// enter starts a new item of an array of tables and returns its path.
func (t tableCounts) enter(parts []string) string {
	last := len(parts) - 1
	path := strings.TrimPrefix(t.within(parts[:last])+"."+parts[last], ".")
	t[path]++
	return fmt.Sprintf("%s.%d", path, t[path]-1)
}

// keyOf returns the parts of an expression's key and its line.
func keyOf(parser *unstable.Parser, e *unstable.Node) (parts []string, line int) {
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
