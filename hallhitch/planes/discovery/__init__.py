"""Who is there: backends by the platform's list, the system's own processes by their pulls, and the directory."""
