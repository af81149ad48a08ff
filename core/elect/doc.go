// Package elect chooses the few instances that read the store on behalf of all, without coordination between them.
package elect
