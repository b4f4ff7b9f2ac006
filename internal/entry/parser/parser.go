// Package parser decodes YAML strictly into structs. It reports every unknown key,
// wrong type and missing unit in a file, each with file, line and key, instead of
// stopping at the first.
//
//	var job specifier.Job
//	err := parser.Parse("job.yaml", data, &job)
package parser

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// MaxFileBytes is the maximum size of a document. Larger input is rejected
// before it is decoded, so that a wrong path can't exhaust the memory.
const MaxFileBytes = 16 << 20

// FieldError is an error in one field of a file.
type FieldError struct {
	File    string
	Line    int
	Key     string
	Message string
}

// Error formats the error on one line, as "file:line: key: message".
func (e FieldError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Message)
}

// FieldErrors are all errors that were found in a file.
type FieldErrors []FieldError

// Error formats the errors, one on each line.
func (es FieldErrors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Lines maps the path of each key, such as "Listeners.API.Address" or
// "Tokens[0].Name", to its line number.
type Lines map[string]int

// Parse decodes the YAML in data into target, a pointer to a struct. Fields that are
// missing in the document keep their values. The name in file is only used in errors.
func Parse(file string, data []byte, target any) (err error) {
	_, err = ParseLines(file, data, target)
	return err
}

// ParseLines is like Parse and also returns the line of each key, so that later checks
// across several keys can report a line as well.
func ParseLines(file string, data []byte, target any) (lines Lines, err error) {
	if len(data) > MaxFileBytes {
		return nil, errors.Newf("%s: larger than %d bytes", file, MaxFileBytes)
	}
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		return nil, errors.Newf("%s: %s", file, strings.TrimPrefix(err.Error(), "yaml: "))
	}
	d := decoder{file: file, lines: Lines{}}
	if len(document.Content) == 0 {
		return nil, FieldErrors{{File: file, Line: 1, Message: "the file is empty"}}
	}
	d.decode(document.Content[0], reflect.ValueOf(target).Elem(), "")
	if len(d.errs) > 0 {
		return nil, d.errs
	}
	return d.lines, nil
}

// decoder decodes one document and collects the errors that it finds.
type decoder struct {
	file  string
	errs  FieldErrors
	lines Lines
}

func (d *decoder) addError(n *yaml.Node, key, format string, args ...any) {
	d.errs = append(d.errs, FieldError{File: d.file, Line: n.Line, Key: key, Message: fmt.Sprintf(format, args...)})
}

// decode decodes n into v. The path of the value in the document is key.
func (d *decoder) decode(n *yaml.Node, v reflect.Value, key string) {
	d.lines[key] = n.Line
	if n.Kind == yaml.AliasNode {
		d.addError(n, key, "YAML aliases are not supported")
		return
	}
	if _, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(n, v, key)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(n, v, key)
	case reflect.Slice:
		d.decodeSlice(n, v, key)
	default:
		d.decodeScalar(n, v, key)
	}
}

// decodeText decodes n with the UnmarshalText method of v.
func (d *decoder) decodeText(n *yaml.Node, v reflect.Value, key string) {
	if n.Kind != yaml.ScalarNode {
		d.addError(n, key, "must be a single value")
		return
	}
	u := v.Addr().Interface().(encoding.TextUnmarshaler)
	if err := u.UnmarshalText([]byte(n.Value)); err != nil {
		d.addError(n, key, "%s", err.Error())
	}
}

// decodeStruct decodes a mapping. Its keys must match the names of exported fields
// exactly.
func (d *decoder) decodeStruct(n *yaml.Node, v reflect.Value, key string) {
	if n.Kind != yaml.MappingNode {
		d.addError(n, key, "must be a mapping")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		name, value := n.Content[i], n.Content[i+1]
		path := joinKey(key, name.Value)
		field, ok := fieldByKey(v, name.Value)
		switch {
		case !ok:
			d.addError(name, path, "unknown key%s", suggestKey(v, name.Value))
		case seen[name.Value]:
			d.addError(name, path, "the key is set more than once")
		default:
			d.decode(value, field, path)
			d.lines[path] = name.Line
		}
		seen[name.Value] = true
	}
}

func (d *decoder) decodeSlice(n *yaml.Node, v reflect.Value, key string) {
	if n.Kind != yaml.SequenceNode {
		d.addError(n, key, "must be a list")
		return
	}
	list := reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content))
	for i, item := range n.Content {
		d.decode(item, list.Index(i), fmt.Sprintf("%s[%d]", key, i))
	}
	v.Set(list)
}

// decodeScalar decodes a string, number or boolean. It rejects null, which the YAML
// decoder would accept and ignore.
func (d *decoder) decodeScalar(n *yaml.Node, v reflect.Value, key string) {
	if n.Kind != yaml.ScalarNode {
		d.addError(n, key, "must be a single value")
		return
	}
	if v.Kind() == reflect.String && n.Tag == "!!str" {
		v.SetString(n.Value)
		return
	}
	if err := n.Decode(v.Addr().Interface()); err != nil || n.Tag == "!!null" {
		d.addError(n, key, "%q is not %s", n.Value, kindName(v.Kind()))
	}
}

// fieldByKey returns the exported field of v whose name is exactly the key.
func fieldByKey(v reflect.Value, key string) (reflect.Value, bool) {
	t := v.Type()
	for i := range t.NumField() {
		if t.Field(i).IsExported() && t.Field(i).Name == key {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// suggestKey returns a hint for a key that differs from a field name only in case.
func suggestKey(v reflect.Value, key string) string {
	t := v.Type()
	for i := range t.NumField() {
		if strings.EqualFold(t.Field(i).Name, key) {
			return fmt.Sprintf(" (did you mean %s?)", t.Field(i).Name)
		}
	}
	return ""
}

func joinKey(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// kindName describes the values that a field of kind k accepts.
func kindName(k reflect.Kind) string {
	switch k {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint64:
		return "a whole number from 0"
	}
	return "a whole number"
}
