package configurer

import (
	"encoding"
	"reflect"

	"go.yaml.in/yaml/v3"
)

// yamlNode converts a value to YAML whose keys are the names of the struct fields,
// in the order of their declaration. yaml.Marshal would write them in lower case.
func yamlNode(v any) (*yaml.Node, error) { return valueNode(reflect.ValueOf(v)) }

// valueNode converts a value. A value that can marshal itself to text becomes a
// string, such as a duration with its unit.
func valueNode(v reflect.Value) (*yaml.Node, error) {
	if m, ok := v.Interface().(encoding.TextMarshaler); ok {
		text, err := m.MarshalText()
		return &yaml.Node{Kind: yaml.ScalarNode, Value: string(text)}, err
	}
	switch v.Kind() {
	case reflect.Struct:
		return structNode(v)
	case reflect.Slice:
		return sliceNode(v)
	}
	n := &yaml.Node{}
	err := n.Encode(v.Interface())
	return n, err
}

func structNode(v reflect.Value) (*yaml.Node, error) {
	n := &yaml.Node{Kind: yaml.MappingNode}
	for i := range v.NumField() {
		value, err := valueNode(v.Field(i))
		if err != nil {
			return nil, err
		}
		key := &yaml.Node{Kind: yaml.ScalarNode, Value: v.Type().Field(i).Name}
		n.Content = append(n.Content, key, value)
	}
	return n, nil
}

func sliceNode(v reflect.Value) (*yaml.Node, error) {
	n := &yaml.Node{Kind: yaml.SequenceNode}
	if v.Len() == 0 {
		n.Style = yaml.FlowStyle
	}
	for i := range v.Len() {
		item, err := valueNode(v.Index(i))
		if err != nil {
			return nil, err
		}
		n.Content = append(n.Content, item)
	}
	return n, nil
}
