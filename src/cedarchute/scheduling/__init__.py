"""Priority of programs, placement of calls on targets, and admission control."""
