// Package blame attributes crashes of engines to parts of prompts and decides which parts are quarantined.
//
// A request that is lost at an engine is evidence once the engine's process is known to have ended. Its parts are then suspected. A
// part is cleared by a later answer to a prompt with it, and quarantined after several crashes without such an answer. Fewer are
// enough where the engine had just begun to answer the request, as it then works on few others.
package blame
