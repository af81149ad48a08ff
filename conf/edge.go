package conf

// LoadEdge reads the settings of an entry instance from a JSON file, fills in defaults and checks every value.
func LoadEdge(path string) (*EdgeSettings, error) {
	s := &EdgeSettings{}
	if err := load(path, s); err != nil {
		return nil, err
	}
	return s, nil
}
