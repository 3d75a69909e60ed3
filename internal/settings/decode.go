package settings

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// maxFile bounds a settings file, in bytes.
const maxFile = 1 << 20

// Load reads and checks a settings file; an *Error lists all of its problems.
func Load(path string) (Settings, error) {
	b, err := read(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(path, b)
}

func read(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err == nil && len(b) > maxFile {
		err = fmt.Errorf("%s has %d bytes, want %d or less", path, len(b), maxFile)
	}
	if err != nil {
		return nil, &Error{Op: "load", Kind: ErrRead, File: path, Err: err}
	}
	return b, nil
}

// Parse reads settings from the content of the file at path.
func Parse(path string, src []byte) (Settings, error) {
	s := Default()
	d := newDecoder(path, src)
	if d.tree(&s) {
		d.check(s)
	}
	if err := d.result(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Decode reads the content of another file in JSON with comments, such as a profile, into the struct at out.
// The *Error lists all problems of syntax, names and types; fields that the file leaves out keep their values.
func Decode(path string, src []byte, out any) error {
	d := newDecoder(path, src)
	d.tree(out)
	return d.result()
}

// decoder fills settings from a syntax tree, because encoding/json stops at the first fault and gives no line.
type decoder struct {
	file, dir string
	src       []byte
	at        map[string]int    // offset of the value at a path
	found     map[string]string // how the value at a path is shown
	bad       map[string]bool   // paths with a problem; later checks leave them out
	problems  []Problem
}

func newDecoder(path string, src []byte) *decoder {
	return &decoder{
		file: path, dir: filepath.Dir(path), src: src,
		at: map[string]int{}, found: map[string]string{}, bad: map[string]bool{},
	}
}

// tree reads the whole file and reports whether its syntax is right.
func (d *decoder) tree(out any) bool {
	v, err := hujson.Parse(d.src)
	if err != nil {
		d.syntax(err)
		return false
	}
	d.value("", &v, reflect.ValueOf(out).Elem())
	return true
}

// result returns all problems in the file's order, or nil.
func (d *decoder) result() error {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int {
		return cmp.Or(a.Line-b.Line, a.Column-b.Column, strings.Compare(a.Path, b.Path))
	})
	return &Error{Op: "load", Kind: ErrInvalid, File: d.file, Problems: d.problems}
}

func (d *decoder) syntax(err error) {
	var line, column int
	if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); n != 2 {
		line, column = 1, 1
	}
	_, cause, ok := strings.Cut(err.Error(), "column "+strconv.Itoa(column)+": ")
	if !ok {
		cause = err.Error()
	}
	d.problems = append(d.problems, Problem{d.file, line, column, "", "a syntax error: " + cause, "JSON, with or without comments"})
}

func (d *decoder) problem(path string, offset int, found, want string) {
	d.bad[path] = true
	before := d.src[:min(offset, len(d.src))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n')
	d.problems = append(d.problems, Problem{d.file, line, column, path, found, want})
}

func (d *decoder) value(path string, v *hujson.Value, out reflect.Value) {
	if out.Kind() == reflect.Pointer {
		out.Set(reflect.New(out.Type().Elem()))
		out = out.Elem()
	}
	d.at[path], d.found[path] = v.StartOffset, show(v, out.Type())
	if s, ok := scalars[out.Type()]; ok {
		d.scalar(path, v, out, s)
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		d.object(path, v, out)
	case reflect.Slice:
		d.array(path, v, out)
	default:
		d.literal(path, v, out)
	}
}

func (d *decoder) scalar(path string, v *hujson.Value, out reflect.Value, s scalar) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		d.problem(path, v.StartOffset, show(v, out.Type()), s.want)
		return
	}
	x, err := s.parse(d.dir, l.String())
	if err != nil {
		d.problem(path, v.StartOffset, show(v, out.Type()), s.want)
		return
	}
	out.Set(reflect.ValueOf(x))
}

func (d *decoder) object(path string, v *hujson.Value, out reflect.Value) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.problem(path, v.StartOffset, show(v, out.Type()), "an object")
		return
	}
	fields, names := fieldsOf(out)
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		p := join(path, name)
		f, known := fields[name]
		switch {
		case seen[name]:
			d.problem(p, m.Name.StartOffset, "the field a second time", "each field once")
		case !known:
			d.problem(p, m.Name.StartOffset, "an unknown field", "one of "+strings.Join(names, ", "))
		default:
			d.value(p, &m.Value, f)
		}
		seen[name] = true
	}
}

func (d *decoder) array(path string, v *hujson.Value, out reflect.Value) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		d.problem(path, v.StartOffset, show(v, out.Type()), "an array")
		return
	}
	out.Set(reflect.MakeSlice(out.Type(), len(a.Elements), len(a.Elements)))
	for i := range a.Elements {
		d.value(fmt.Sprintf("%s[%d]", path, i), &a.Elements[i], out.Index(i))
	}
}

func (d *decoder) literal(path string, v *hujson.Value, out reflect.Value) {
	l, ok := v.Value.(hujson.Literal)
	if !ok {
		l = hujson.Literal("null")
	}
	k := l.Kind()
	switch out.Kind() {
	case reflect.String:
		if k == '"' {
			out.SetString(l.String())
			return
		}
	case reflect.Bool:
		if k == 't' || k == 'f' {
			out.SetBool(l.Bool())
			return
		}
	case reflect.Float64:
		if f, err := strconv.ParseFloat(string(l), 64); err == nil && k == '0' {
			out.SetFloat(f)
			return
		}
	case reflect.Uint64:
		if n, err := strconv.ParseUint(string(l), 10, 64); err == nil && k == '0' {
			out.SetUint(n)
			return
		}
	default:
		if n, err := strconv.ParseInt(string(l), 10, 64); err == nil && k == '0' {
			out.SetInt(n)
			return
		}
	}
	d.problem(path, v.StartOffset, show(v, out.Type()), kindNames[out.Kind()])
}

var kindNames = map[reflect.Kind]string{
	reflect.String: "text", reflect.Bool: "true or false", reflect.Float64: "a number",
	reflect.Int: "a whole number", reflect.Int64: "a whole number", reflect.Uint64: "a whole number, 0 or more",
}

// show describes a value; the text in place of a hash may be an API key by mistake, so only its length is shown.
func show(v *hujson.Value, t reflect.Type) string {
	const longest = 80 // bytes
	l, ok := v.Value.(hujson.Literal)
	switch {
	case !ok && v.Value.Kind() == '{':
		return "an object"
	case !ok:
		return "an array"
	case t == reflect.TypeFor[Hash]():
		return fmt.Sprintf("%d bytes of JSON", len(l))
	case len(l) > longest:
		return string(l[:longest]) + "..."
	}
	return string(l)
}

// fieldsOf returns the fields of a struct by their names in the file, and the names in order.
func fieldsOf(v reflect.Value) (map[string]reflect.Value, []string) {
	m := make(map[string]reflect.Value, v.NumField())
	names := make([]string, 0, v.NumField())
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if f.Anonymous {
			inner, more := fieldsOf(v.Field(i))
			maps.Copy(m, inner)
			names = append(names, more...)
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		m[name] = v.Field(i)
		names = append(names, name)
	}
	return m, names
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
