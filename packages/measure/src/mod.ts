/** The measurements have no library interface. */
export {};
