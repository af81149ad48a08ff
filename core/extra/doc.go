// Package extra preserves JSON object fields that a newer version of snipeshed wrote, so that an update by this version
// does not drop them.
package extra
