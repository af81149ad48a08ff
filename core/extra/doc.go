// Package extra keeps the fields of JSON objects that a newer version of snipeshed wrote, so that an update by this version
// does not lose them.
package extra
