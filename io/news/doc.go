// Package news holds the configuration and the endpoint list of an instance and exchanges them with other instances.
package news
