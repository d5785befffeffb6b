/** Stands for a module that the program loads and never calls. */
export {};
