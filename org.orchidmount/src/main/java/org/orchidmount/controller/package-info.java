/** Controllers that read the blackboard, decide, and write it. */
package org.orchidmount.controller;
