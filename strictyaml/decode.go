// Package strictyaml decodes YAML into Go structs and collects every unknown key, wrong
// type and duplicate with its line and column, instead of stopping at the first error.
package strictyaml

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"sesameledge.dev/sesameledge/finding"
)

// Document keeps the places of a decoded text, so that later checks can name the line
// of a value.
type Document struct {
	file   string
	places map[string]finding.Place
}

// Place returns the place of a field such as "listen.peers" or "peers[2].zone". For a
// field that the text does not have it returns the place of the nearest parent, at last
// that of the text's first value.
func (d *Document) Place(field string) finding.Place {
	for {
		if p, ok := d.places[field]; ok {
			return p
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			break
		}
		field = field[:cut]
	}
	if p, ok := d.places[""]; ok {
		return p
	}
	return finding.Place{File: d.file}
}

// Readable reports whether the text was YAML with content. If not, checks of single
// fields would only repeat that.
func (d *Document) Readable() bool { return len(d.places) > 0 }

// Decode decodes text into the struct that into points to. Field names come from yaml
// tags. Durations are written as "250ms". Problems are added to list; what could be
// decoded is kept.
func Decode(file string, text []byte, into any, list *finding.List) *Document {
	doc := &Document{file: file, places: make(map[string]finding.Place)}
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		place, message := syntaxError(file, err)
		list.Add(place, "", "%s", message)
		return doc
	}
	if len(root.Content) == 0 {
		list.Add(finding.Place{File: file}, "", "the file is empty")
		return doc
	}
	d := decoder{doc: doc, list: list}
	d.value(root.Content[0], reflect.ValueOf(into).Elem(), "")
	return doc
}

// syntaxError separates the line from the message of an error such as
// "yaml: line 3: mapping values are not allowed in this context". The parser names no
// column.
func syntaxError(file string, err error) (finding.Place, string) {
	message := strings.TrimPrefix(err.Error(), "yaml: ")
	place := finding.Place{File: file}
	if n, err := fmt.Sscanf(message, "line %d:", &place.Line); n == 1 && err == nil {
		_, message, _ = strings.Cut(message, ": ")
	}
	return place, message
}

type decoder struct {
	doc  *Document
	list *finding.List
}

var durationType = reflect.TypeFor[time.Duration]()

func (d *decoder) place(n *yaml.Node) finding.Place {
	return finding.Place{File: d.doc.file, Line: n.Line, Column: n.Column}
}

func (d *decoder) wrong(n *yaml.Node, field, want string) {
	got := map[yaml.Kind]string{yaml.MappingNode: "a mapping", yaml.SequenceNode: "a list"}[n.Kind]
	if got == "" {
		got = fmt.Sprintf("%q", n.Value)
	}
	d.list.Add(d.place(n), field, "expected %s, found %s", want, got)
}

func (d *decoder) value(n *yaml.Node, v reflect.Value, field string) {
	for n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	d.doc.places[field] = d.place(n)
	switch {
	case v.Type() == durationType:
		d.duration(n, v, field)
	case v.Kind() == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.value(n, v.Elem(), field)
	case v.Kind() == reflect.Struct:
		d.structure(n, v, field)
	case v.Kind() == reflect.Slice:
		d.slice(n, v, field)
	case v.Kind() == reflect.Map:
		d.mapping(n, v, field)
	default:
		d.scalar(n, v, field)
	}
}

func (d *decoder) duration(n *yaml.Node, v reflect.Value, field string) {
	dur, err := time.ParseDuration(n.Value)
	if n.Kind != yaml.ScalarNode || err != nil {
		d.wrong(n, field, "a duration such as 250ms")
		return
	}
	v.SetInt(int64(dur))
}

func (d *decoder) structure(n *yaml.Node, v reflect.Value, field string) {
	if n.Kind != yaml.MappingNode {
		d.wrong(n, field, "a mapping")
		return
	}
	byTag := make(map[string]reflect.Value)
	for i := range v.NumField() {
		if tag, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ","); tag != "" && tag != "-" {
			byTag[tag] = v.Field(i)
		}
	}
	d.pairs(n, field, func(key, val *yaml.Node, sub string) {
		target, ok := byTag[key.Value]
		if !ok {
			d.list.Add(d.place(key), sub, "unknown key")
			return
		}
		d.value(val, target, sub)
	})
}

func (d *decoder) mapping(n *yaml.Node, v reflect.Value, field string) {
	if n.Kind != yaml.MappingNode {
		d.wrong(n, field, "a mapping")
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	d.pairs(n, field, func(key, val *yaml.Node, sub string) {
		elem := reflect.New(v.Type().Elem()).Elem()
		d.value(val, elem, sub)
		v.SetMapIndex(reflect.ValueOf(key.Value).Convert(v.Type().Key()), elem)
	})
}

// pairs visits the entries of a mapping and reports duplicate keys.
func (d *decoder) pairs(n *yaml.Node, field string, visit func(key, val *yaml.Node, sub string)) {
	seen := make(map[string]bool)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, val := n.Content[i], n.Content[i+1]
		sub := key.Value
		if field != "" {
			sub = field + "." + sub
		}
		if seen[key.Value] {
			d.list.Add(d.place(key), sub, "duplicate key")
			continue
		}
		seen[key.Value] = true
		visit(key, val, sub)
	}
}

func (d *decoder) slice(n *yaml.Node, v reflect.Value, field string) {
	if n.Kind != yaml.SequenceNode {
		d.wrong(n, field, "a list")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content))
	for i, item := range n.Content {
		d.value(item, out.Index(i), fmt.Sprintf("%s[%d]", field, i))
	}
	v.Set(out)
}

func (d *decoder) scalar(n *yaml.Node, v reflect.Value, field string) {
	want := map[reflect.Kind]string{
		reflect.String: "a string", reflect.Bool: "true or false",
		reflect.Int: "a whole number", reflect.Int64: "a whole number", reflect.Uint64: "a whole number",
		reflect.Float64: "a number",
	}[v.Kind()]
	if n.Kind != yaml.ScalarNode || n.Decode(v.Addr().Interface()) != nil {
		d.wrong(n, field, want)
	}
}
