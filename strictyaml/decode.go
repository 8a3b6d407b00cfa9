// Package strictyaml decodes YAML into Go structs. It collects every unknown key, wrong type and duplicate
// key with its line and column as a finding, instead of stopping at the first error. It leaves the check of
// values to the packages that define the structs.
package strictyaml

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"sesameledge.dev/sesameledge/finding"
)

// Document keeps the positions of the values in a decoded text, so that later checks can report them.
type Document struct {
	file      string
	positions map[string]finding.Position // by field; the key "" is the whole text
}

// Position returns the position of a field such as "listen.peers" or "peers[2].zone". If the text does not have
// the field, it returns the position of the nearest parent that it has. The outermost parent is the first
// value of the text.
func (d *Document) Position(field string) finding.Position {
	for {
		if position, ok := d.positions[field]; ok {
			return position
		}
		separator := strings.LastIndexAny(field, ".[")
		if separator < 0 {
			break
		}
		field = field[:separator]
	}
	if position, ok := d.positions[""]; ok {
		return position
	}
	return finding.Position{File: d.file}
}

// Readable reports whether the text was YAML with content. If not, checks of single fields would only repeat
// that error.
func (d *Document) Readable() bool { return len(d.positions) > 0 }

// Decode decodes text into the struct that target points to. Field names come from yaml tags. Durations are
// written as "250ms". Decode adds a finding to list for each problem, and keeps the values that it could
// decode. The file name serves only as part of positions.
func Decode(file string, text []byte, target any, list *finding.List) *Document {
	doc := &Document{file: file, positions: make(map[string]finding.Position)}
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		position, message := syntaxError(file, err)
		list.Add(position, "", "%s", message)
		return doc
	}
	if len(root.Content) == 0 {
		list.Add(finding.Position{File: file}, "", "the file is empty")
		return doc
	}
	d := decoder{doc: doc, list: list}
	d.decodeValue(root.Content[0], reflect.ValueOf(target).Elem(), "")
	return doc
}

// syntaxError splits an error of the YAML parser, such as
// "yaml: line 3: mapping values are not allowed in this context", into position and message. The parser
// reports no column.
func syntaxError(file string, err error) (finding.Position, string) {
	message := strings.TrimPrefix(err.Error(), "yaml: ")
	position := finding.Position{File: file}
	if n, err := fmt.Sscanf(message, "line %d:", &position.Line); n == 1 && err == nil {
		_, message, _ = strings.Cut(message, ": ")
	}
	return position, message
}

// decoder decodes one document and collects findings.
type decoder struct {
	doc  *Document
	list *finding.List
}

var durationType = reflect.TypeFor[time.Duration]()

// position returns the position of a node.
func (d *decoder) position(node *yaml.Node) finding.Position {
	return finding.Position{File: d.doc.file, Line: node.Line, Column: node.Column}
}

// reportWrongType adds a finding about a node that is not of the wanted type.
func (d *decoder) reportWrongType(node *yaml.Node, field, want string) {
	got := map[yaml.Kind]string{yaml.MappingNode: "a mapping", yaml.SequenceNode: "a list"}[node.Kind]
	if got == "" {
		got = fmt.Sprintf("%q", node.Value)
	}
	d.list.Add(d.position(node), field, "expected %s, found %s", want, got)
}

// decodeValue decodes a node into v according to the type of v, and records the position of the field.
func (d *decoder) decodeValue(node *yaml.Node, v reflect.Value, field string) {
	for node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	d.doc.positions[field] = d.position(node)
	switch {
	case v.Type() == durationType:
		d.decodeDuration(node, v, field)
	case v.Kind() == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.decodeValue(node, v.Elem(), field)
	case v.Kind() == reflect.Struct:
		d.decodeStruct(node, v, field)
	case v.Kind() == reflect.Slice:
		d.decodeSlice(node, v, field)
	case v.Kind() == reflect.Map:
		d.decodeMap(node, v, field)
	default:
		d.decodeScalar(node, v, field)
	}
}

func (d *decoder) decodeDuration(node *yaml.Node, v reflect.Value, field string) {
	duration, err := time.ParseDuration(node.Value)
	if node.Kind != yaml.ScalarNode || err != nil {
		d.reportWrongType(node, field, "a duration such as 250ms")
		return
	}
	v.SetInt(int64(duration))
}

func (d *decoder) decodeStruct(node *yaml.Node, v reflect.Value, field string) {
	if node.Kind != yaml.MappingNode {
		d.reportWrongType(node, field, "a mapping")
		return
	}
	byTag := make(map[string]reflect.Value)
	for i := range v.NumField() {
		if tag, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ","); tag != "" && tag != "-" {
			byTag[tag] = v.Field(i)
		}
	}
	d.visitEntries(node, field, func(key, val *yaml.Node, childField string) {
		target, ok := byTag[key.Value]
		if !ok {
			d.list.Add(d.position(key), childField, "unknown key")
			return
		}
		d.decodeValue(val, target, childField)
	})
}

func (d *decoder) decodeMap(node *yaml.Node, v reflect.Value, field string) {
	if node.Kind != yaml.MappingNode {
		d.reportWrongType(node, field, "a mapping")
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	d.visitEntries(node, field, func(key, val *yaml.Node, childField string) {
		elem := reflect.New(v.Type().Elem()).Elem()
		d.decodeValue(val, elem, childField)
		v.SetMapIndex(reflect.ValueOf(key.Value).Convert(v.Type().Key()), elem)
	})
}

// visitEntries calls visit for each entry of a mapping with the full name of its field. It reports duplicate
// keys and skips them.
func (d *decoder) visitEntries(node *yaml.Node, field string, visit func(key, val *yaml.Node, childField string)) {
	seen := make(map[string]bool)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, val := node.Content[i], node.Content[i+1]
		childField := key.Value
		if field != "" {
			childField = field + "." + childField
		}
		if seen[key.Value] {
			d.list.Add(d.position(key), childField, "duplicate key")
			continue
		}
		seen[key.Value] = true
		visit(key, val, childField)
	}
}

func (d *decoder) decodeSlice(node *yaml.Node, v reflect.Value, field string) {
	if node.Kind != yaml.SequenceNode {
		d.reportWrongType(node, field, "a list")
		return
	}
	elements := reflect.MakeSlice(v.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		d.decodeValue(item, elements.Index(i), fmt.Sprintf("%s[%d]", field, i))
	}
	v.Set(elements)
}

func (d *decoder) decodeScalar(node *yaml.Node, v reflect.Value, field string) {
	want := map[reflect.Kind]string{
		reflect.String: "a string", reflect.Bool: "true or false",
		reflect.Int: "a whole number", reflect.Int64: "a whole number", reflect.Uint64: "a whole number",
		reflect.Float64: "a number",
	}[v.Kind()]
	if node.Kind != yaml.ScalarNode || node.Decode(v.Addr().Interface()) != nil {
		d.reportWrongType(node, field, want)
	}
}
