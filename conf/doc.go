// Package conf loads and checks the settings of one instance; the schema in proto/conf holds every default.
package conf
