"""Decides when tasks that earlier owners may have started run again."""
