// Package objs is a test double of the platform's HTTP services: the object API, a key-value store with conditional writes,
// and the instance list. It is the platform of the snipeshed serve command; package plat simulates that of the edge command.
//
// The store has a revision, which each write and delete increments. The version
// of an object is the revision of its last write. PUT returns 200 and DELETE
// 204, both with the new version as ETag. A failed condition returns 412 with
// the current version as ETag, a write without a condition 428, a value above
// 1 MiB 413, and a call above the rate limit 429.
//
// A list returns {"revision","objects":[{"key","version","value"}],"more"} with
// values in base64 and at most 1,000 objects. A watch sends a line
// {"key","version","value"} or {"key","version","deleted":true} for each change
// after the revision given by since; without since it starts at the current
// revision. It returns 410 if the history does not reach back to that revision.
//
// The instance list with since=n contains the instances that changed after
// revision n, including those that are gone; without since it contains all that
// are live or leaving.
package objs
