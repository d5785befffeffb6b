/** I/O around membership and configuration convergence. */
export {};
