package fakes

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// RenderTemplate fills in a template of the platform: values, values as JSON and sections
// that are present or not, without sections over lists or within each other.
func RenderTemplate(text string, fields map[string]any, current any) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		tag, after, found := strings.Cut(rest, "}}")
		if !found {
			return "", errors.Newf("template: %q has no end", rest)
		}
		text = after
		name, isSection := strings.CutPrefix(tag, "#")
		if !isSection {
			if err := renderValue(&out, tag, fields, current); err != nil {
				return "", err
			}
			continue
		}
		section, after, found := strings.Cut(text, "{{/"+name+"}}")
		if !found {
			return "", errors.Newf("template: section %s has no end", name)
		}
		text = after
		value := lookUp(fields, name)
		if value == nil || value == false {
			continue
		}
		inner, err := RenderTemplate(section, fields, value)
		if err != nil {
			return "", err
		}
		out.WriteString(inner)
	}
}

func renderValue(out *strings.Builder, tag string, fields map[string]any, current any) error {
	name, asJSON := strings.CutSuffix(tag, "|json")
	value := current
	if name != "." {
		value = lookUp(fields, name)
	}
	if value == nil || !asJSON {
		if value != nil {
			fmt.Fprint(out, value)
		}
		return nil
	}
	b, err := json.Marshal(value)
	out.Write(b)
	return err
}

// lookUp returns the value with a name such as a.b, or nil.
func lookUp(fields map[string]any, name string) any {
	var value any = fields
	for key := range strings.SplitSeq(name, ".") {
		table, _ := value.(map[string]any) // Nothing is found in what is no table.
		value = table[key]
	}
	return value
}
