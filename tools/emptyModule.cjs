/** Stands for modules that the program never calls. */
module.exports = {};
