/** The command-line tool has no library interface. */
export {};
