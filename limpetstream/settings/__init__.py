"""Settings files, the settings tree, and edits of the tree."""
