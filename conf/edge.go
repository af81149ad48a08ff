package conf

// LoadEdge reads the settings of an entry instance from a JSON file, sets defaults and validates every value.
func LoadEdge(path string) (*EdgeSettings, error) {
	s := &EdgeSettings{}
	if err := loadFile(path, s); err != nil {
		return nil, err
	}
	return s, nil
}
