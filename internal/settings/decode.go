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

// maxFileBytes is the largest size of a settings file.
const maxFileBytes = 1 << 20

// LoadInstance reads and validates a settings file. For an invalid file it returns an *Error that lists all problems.
func LoadInstance(path string) (Settings, error) {
	b, err := readFile(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(path, b)
}

func readFile(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err == nil && len(b) > maxFileBytes {
		err = fmt.Errorf("%s has %d bytes, want %d or less", path, len(b), maxFileBytes)
	}
	if err != nil {
		return nil, &Error{Op: "load", Kind: ErrRead, File: path, Err: err}
	}
	return b, nil
}

// Parse decodes and validates src, the content of the settings file at path.
func Parse(path string, src []byte) (Settings, error) {
	s := Default()
	d := newDecoder(path, src)
	if d.decode(&s) {
		d.validate(s)
	}
	if err := d.err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Decode decodes src, the content of the file at path in JSON with comments, into the struct that out points to.
// It serves files other than the settings, such as profiles, and applies no validation rules. For a malformed file it
// returns an *Error that lists all unknown fields and wrong types. Fields missing from the file keep their values.
func Decode(path string, src []byte, out any) error {
	d := newDecoder(path, src)
	d.decode(out)
	return d.err()
}

// decoder decodes a syntax tree into a struct and collects all problems with their positions.
// It replaces encoding/json, which stops at the first error and reports no line.
type decoder struct {
	file, dir string
	src       []byte
	offsets   map[string]int    // byte offset of the value at each path
	shown     map[string]string // description of the value at each path, for problems
	invalid   map[string]bool   // paths with a problem, which validation skips
	problems  []Problem
}

func newDecoder(path string, src []byte) *decoder {
	return &decoder{
		file: path, dir: filepath.Dir(path), src: src,
		offsets: map[string]int{}, shown: map[string]string{}, invalid: map[string]bool{},
	}
}

// decode decodes the file into the struct that out points to and reports whether its syntax is valid.
func (d *decoder) decode(out any) bool {
	v, err := hujson.Parse(d.src)
	if err != nil {
		d.addSyntaxProblem(err)
		return false
	}
	d.decodeValue("", &v, reflect.ValueOf(out).Elem())
	return true
}

// err returns an *Error with all problems in the order of their positions, or nil if there are none.
func (d *decoder) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int {
		return cmp.Or(a.Line-b.Line, a.Column-b.Column, strings.Compare(a.Path, b.Path))
	})
	return &Error{Op: "load", Kind: ErrInvalid, File: d.file, Problems: d.problems}
}

// addSyntaxProblem adds a problem for an error of the parser, with the position from its message.
func (d *decoder) addSyntaxProblem(err error) {
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

// addProblem adds a problem of the value at path, whose position follows from the byte offset.
func (d *decoder) addProblem(path string, offset int, found, want string) {
	d.invalid[path] = true
	before := d.src[:min(offset, len(d.src))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n')
	d.problems = append(d.problems, Problem{d.file, line, column, path, found, want})
}

// decodeValue decodes v into out by the kind of out.
func (d *decoder) decodeValue(path string, v *hujson.Value, out reflect.Value) {
	if out.Kind() == reflect.Pointer {
		out.Set(reflect.New(out.Type().Elem()))
		out = out.Elem()
	}
	d.offsets[path], d.shown[path] = v.StartOffset, describe(v, out.Type())
	if s, ok := scalars[out.Type()]; ok {
		d.decodeScalar(path, v, out, s)
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		d.decodeObject(path, v, out)
	case reflect.Slice:
		d.decodeArray(path, v, out)
	default:
		d.decodeLiteral(path, v, out)
	}
}

// decodeScalar decodes a JSON string into one of the scalar types.
func (d *decoder) decodeScalar(path string, v *hujson.Value, out reflect.Value, s scalar) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		d.addProblem(path, v.StartOffset, describe(v, out.Type()), s.want)
		return
	}
	x, err := s.parse(d.dir, l.String())
	if err != nil {
		d.addProblem(path, v.StartOffset, describe(v, out.Type()), s.want)
		return
	}
	out.Set(reflect.ValueOf(x))
}

// decodeObject decodes a JSON object into a struct.
func (d *decoder) decodeObject(path string, v *hujson.Value, out reflect.Value) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addProblem(path, v.StartOffset, describe(v, out.Type()), "an object")
		return
	}
	fields, names := jsonFields(out)
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		p := joinPath(path, name)
		f, known := fields[name]
		switch {
		case seen[name]:
			d.addProblem(p, m.Name.StartOffset, "the field a second time", "each field once")
		case !known:
			d.addProblem(p, m.Name.StartOffset, "an unknown field", "one of "+strings.Join(names, ", "))
		default:
			d.decodeValue(p, &m.Value, f)
		}
		seen[name] = true
	}
}

// decodeArray decodes a JSON array into a slice.
func (d *decoder) decodeArray(path string, v *hujson.Value, out reflect.Value) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addProblem(path, v.StartOffset, describe(v, out.Type()), "an array")
		return
	}
	out.Set(reflect.MakeSlice(out.Type(), len(a.Elements), len(a.Elements)))
	for i := range a.Elements {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), &a.Elements[i], out.Index(i))
	}
}

// decodeLiteral decodes a JSON string, boolean or number.
func (d *decoder) decodeLiteral(path string, v *hujson.Value, out reflect.Value) {
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
	d.addProblem(path, v.StartOffset, describe(v, out.Type()), kindDescriptions[out.Kind()])
}

// kindDescriptions holds the expected value of each kind, as problems state it.
var kindDescriptions = map[reflect.Kind]string{
	reflect.String: "text", reflect.Bool: "true or false", reflect.Float64: "a number",
	reflect.Int: "a whole number", reflect.Int64: "a whole number", reflect.Uint64: "a whole number, 0 or more",
}

// describe returns a short description of a value for a problem. In place of a hash the file may hold an API key by
// mistake, so only the length of that value is described.
func describe(v *hujson.Value, t reflect.Type) string {
	const maxBytes = 80
	l, ok := v.Value.(hujson.Literal)
	switch {
	case !ok && v.Value.Kind() == '{':
		return "an object"
	case !ok:
		return "an array"
	case t == reflect.TypeFor[Hash]():
		return fmt.Sprintf("%d bytes of JSON", len(l))
	case len(l) > maxBytes:
		return string(l[:maxBytes]) + "..."
	}
	return string(l)
}

// jsonFields returns the fields of a struct by their JSON names, and the names in the order of declaration.
func jsonFields(v reflect.Value) (map[string]reflect.Value, []string) {
	m := make(map[string]reflect.Value, v.NumField())
	names := make([]string, 0, v.NumField())
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if f.Anonymous {
			embedded, embeddedNames := jsonFields(v.Field(i))
			maps.Copy(m, embedded)
			names = append(names, embeddedNames...)
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		m[name] = v.Field(i)
		names = append(names, name)
	}
	return m, names
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
