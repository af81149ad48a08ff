// Package conf loads and validates the settings of one instance. Defaults and ranges are defined by the schema in proto/conf.
package conf
