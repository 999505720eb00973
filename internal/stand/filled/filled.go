// Package filled sets every exported field of a value, so that a golden file of its encoding contains all field names.
//
// It exists because old and new processes run side by side during an update and read each other's JSON: if a
// refactoring changes a name, the other process no longer finds it. A test that listed the fields in Go would not notice,
// because the refactoring would rename them in the test too.
//
// It is for tests only. It does not generate random values: a type is always filled in the same way. Unexported fields
// are left unchanged, since they are not encoded.
//
// # Usage
//
//	var c belief.Change
//	filled.Fill(&c)
//	assert.DeepEqual(t, filled.Unset(c), []string(nil))
package filled

import (
	"encoding"
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"time"
)

// maxDepth bounds the recursion into recursive types.
const maxDepth = 12

// Fill sets the value that v points to: each exported field to a non-zero value, each slice and map to one element,
// and each pointer to a new value. It panics on a type that it can't fill, such as a function.
//
// Each value is derived from the position of its field in the struct. So the fields of a struct differ from each other,
// and a field added at the end does not change the values of the others.
func Fill(v any) { fill(reflect.ValueOf(v).Elem(), 1, 0) }

// fill sets v, which is at position n of the value that contains it.
func fill(v reflect.Value, n, depth int) {
	if depth > maxDepth {
		return
	}
	if fillKnown(v, n) {
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n, depth+1)
	case reflect.Struct:
		fillFields(v, depth)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n, depth+1)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n+i, depth+1)
		}
	case reflect.Map:
		fillMap(v, n, depth)
	case reflect.Interface:
		v.Set(reflect.ValueOf(fmt.Sprintf("any%d", n)))
	default:
		fillBasic(v, n)
	}
}

func fillFields(v reflect.Value, depth int) {
	for i := range v.NumField() {
		if v.Type().Field(i).IsExported() {
			fill(v.Field(i), i+1, depth+1)
		}
	}
}

func fillMap(v reflect.Value, n, depth int) {
	key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
	fill(key, n, depth+1)
	fill(value, n+1, depth+1)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, value)
}

// fillBasic sets a number, string or bool. Numbers fit into 8 bits.
func fillBasic(v reflect.Value, n int) {
	small := n%120 + 1
	switch {
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.Kind() == reflect.String:
		v.SetString(fmt.Sprintf("text%d", n))
	case v.CanInt():
		v.SetInt(int64(small))
	case v.CanUint():
		v.SetUint(uint64(small))
	case v.CanFloat():
		v.SetFloat(float64(small) + 0.5)
	default:
		panic("filled: no value for " + v.Type().String())
	}
}

// fillKnown sets a value of a type that needs a specific value, such as a netip.Addr, whose fields aren't exported. It
// reports whether the type of v is one of them.
func fillKnown(v reflect.Value, n int) bool {
	last := byte(n%250 + 1)
	addr := netip.AddrFrom4([4]byte{10, 0, 0, last})
	var value any
	switch v.Interface().(type) {
	case netip.Addr:
		value = addr
	case netip.AddrPort:
		value = netip.AddrPortFrom(addr, 8000+uint16(last))
	case netip.Prefix:
		value = netip.PrefixFrom(addr, 32)
	case time.Time:
		value = time.Unix(1_700_000_000+int64(n), 0).UTC()
	case json.RawMessage:
		value = json.RawMessage(fmt.Sprint(n))
	default:
		return false
	}
	v.Set(reflect.ValueOf(value))
	return true
}

// Unset returns the paths of all exported fields of v that are zero or empty, in field order.
func Unset(v any) (paths []string) { return unset(nil, reflect.ValueOf(v), "") }

func unset(paths []string, v reflect.Value, path string) []string {
	if !v.IsValid() || v.IsZero() || hasLen(v) && v.Len() == 0 {
		return append(paths, path)
	}
	if hasOwnEncoding(v) {
		return paths
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		return unset(paths, v.Elem(), path)
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() {
				paths = unset(paths, v.Field(i), path+"."+field.Name)
			}
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			paths = unset(paths, v.Index(i), fmt.Sprintf("%s[%d]", path, i))
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			paths = unset(paths, v.MapIndex(key), fmt.Sprintf("%s[%v]", path, key))
		}
	}
	return paths
}

// hasOwnEncoding reports whether a value encodes itself as a whole, such as an address or a URL.
func hasOwnEncoding(v reflect.Value) bool {
	switch v.Interface().(type) {
	case encoding.TextMarshaler, encoding.BinaryMarshaler:
		return true
	default:
		return false
	}
}

func hasLen(v reflect.Value) bool { return v.Kind() == reflect.Slice || v.Kind() == reflect.Map }
